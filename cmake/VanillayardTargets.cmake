if(VANILLAYARD_DAEMON_ONLY)
  set(VANILLAYARD_WARNINGS -Wall -Wextra)
else()
  set(VANILLAYARD_WARNINGS -Wall -Wextra -Werror)
endif()

# vanillayard_library(NAME SOURCES ... DEPENDS ...): a static library
# vanillayard_NAME with public headers in include/ and private ones in src/.
function(vanillayard_library Name)
  cmake_parse_arguments(ARG "" "" "SOURCES;DEPENDS" ${ARGN})
  set(Target vanillayard_${Name})
  add_library(${Target} STATIC ${ARG_SOURCES})
  target_include_directories(${Target} PUBLIC include PRIVATE src)
  target_compile_options(${Target} PRIVATE ${VANILLAYARD_WARNINGS})
  target_link_libraries(${Target} PUBLIC ${ARG_DEPENDS})
endfunction()

# vanillayard_test(NAME [TIMEOUT SECONDS] SOURCES ... DEPENDS ...): a GoogleTest
# program, registered with CTest. TIMEOUT is 120 by default. RapidCheck runs
# with a fixed seed, so that a run can be repeated.
function(vanillayard_test Name)
  if(VANILLAYARD_DAEMON_ONLY)
    return()
  endif()
  cmake_parse_arguments(ARG "" "TIMEOUT" "SOURCES;DEPENDS" ${ARGN})
  if(NOT ARG_TIMEOUT)
    set(ARG_TIMEOUT 120)
  endif()
  add_executable(${Name} ${ARG_SOURCES})
  target_compile_options(${Name} PRIVATE ${VANILLAYARD_WARNINGS})
  target_link_libraries(${Name} PRIVATE ${ARG_DEPENDS} GTest::gtest
                        GTest::gtest_main ${RAPIDCHECK_LIBRARY})
  add_test(NAME ${Name} COMMAND ${Name})
  set_tests_properties(${Name} PROPERTIES TIMEOUT ${ARG_TIMEOUT}
    ENVIRONMENT "RC_PARAMS=seed=42 max_success=200")
endfunction()

# vanillayard_program(NAME SOURCES ... DEPENDS ...): an executable in bin/.
function(vanillayard_program Name)
  if(VANILLAYARD_DAEMON_ONLY AND NOT Name STREQUAL vanillayardd)
    return()
  endif()
  cmake_parse_arguments(ARG "" "" "SOURCES;DEPENDS" ${ARGN})
  add_executable(${Name} ${ARG_SOURCES})
  target_compile_options(${Name} PRIVATE ${VANILLAYARD_WARNINGS})
  target_link_libraries(${Name} PRIVATE ${ARG_DEPENDS})
  set_target_properties(${Name} PROPERTIES
    RUNTIME_OUTPUT_DIRECTORY ${CMAKE_BINARY_DIR}/bin)
endfunction()
