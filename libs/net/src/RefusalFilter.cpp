#include "RefusalFilter.h"

#include "base/ErrorKind.h"
#include "net/ProblemDetails.h"

#include <optional>
#include <string>

namespace vanillayard {

namespace {

struct RefusalFilter {
  h2o_filter_t Base;
  RefusalCallback OnRefused;
};

/// Replaces the body of a response.
struct RefusalStream {
  h2o_ostream_t Base;
  h2o_iovec_t Body;
};

} // namespace

static std::optional<absl::Status> errorForStatus(const h2o_req_t &Request) {
  switch (Request.res.status) {
  case 400:
    return makeError(ErrorKind::InvalidRequest,
                     "the request is not valid HTTP");
  case 413:
    return makeError(ErrorKind::PayloadTooLarge, "the body is too large");
  default:
    return std::nullopt;
  }
}

static void sendReplacement(h2o_ostream_t *Self, h2o_req_t *Request,
                            h2o_iovec_t *, size_t, h2o_send_state_t State) {
  auto *Stream = reinterpret_cast<RefusalStream *>(Self);
  h2o_ostream_send_next(Self, Request, &Stream->Body, 1, State);
}

static void setContentType(h2o_req_t &Request, const h2o_iovec_t &Type) {
  ssize_t Index =
      h2o_find_header(&Request.res.headers, H2O_TOKEN_CONTENT_TYPE, -1);
  if (Index >= 0)
    Request.res.headers.entries[Index].value = Type;
  else
    h2o_add_header(&Request.pool, &Request.res.headers, H2O_TOKEN_CONTENT_TYPE,
                   nullptr, Type.base, Type.len);
}

static void onSetupOstream(h2o_filter_t *Self, h2o_req_t *Request,
                           h2o_ostream_t **Slot) {
  std::optional<absl::Status> Problem = errorForStatus(*Request);
  if (Problem) {
    HttpResponse Response = problemResponse(*Problem);
    Request->res.status = Response.Status;
    Request->res.reason = "Error";
    Request->res.content_length = Response.Body.size();
    setContentType(*Request,
                   h2o_iovec_init(H2O_STRLIT("application/problem+json")));
    auto *Stream = reinterpret_cast<RefusalStream *>(
        h2o_add_ostream(Request, sizeof(RefusalStream), Slot));
    Stream->Base.do_send = sendReplacement;
    Stream->Body =
        h2o_strdup(&Request->pool, Response.Body.data(), Response.Body.size());
    Slot = &Stream->Base.next;
    reinterpret_cast<RefusalFilter *>(Self)->OnRefused(
        Request->conn->callbacks->get_socket(Request->conn));
  }
  h2o_setup_next_ostream(Request, Slot);
}

void addRefusalFilter(h2o_hostconf_t *Host, RefusalCallback OnRefused) {
  auto *Filter = reinterpret_cast<RefusalFilter *>(
      h2o_create_filter(&Host->fallback_path, sizeof(RefusalFilter)));
  Filter->Base.on_setup_ostream = onSetupOstream;
  Filter->OnRefused = OnRefused;
}

} // namespace vanillayard
