#ifndef VANILLAYARD_STANDIN_RELAY_TCPSTREAM_H
#define VANILLAYARD_STANDIN_RELAY_TCPSTREAM_H

#include <functional>
#include <memory>
#include <string>
#include <uv.h>

namespace vanillayard {

/// One TCP connection on libuv. The destructor closes the connection; no
/// callback is called afterwards.
class TcpStream {
public:
  /// \p Chunk is empty at the end of the peer's data.
  using ReadCallback = std::function<void(std::string Chunk)>;
  using ErrorCallback = std::function<void()>;

  explicit TcpStream(uv_loop_t *Loop);
  ~TcpStream();
  TcpStream(const TcpStream &) = delete;
  TcpStream &operator=(const TcpStream &) = delete;

  /// Returns false on failure.
  bool accept(uv_tcp_t *Listener);
  void connect(const sockaddr_in &Address, std::function<void()> Connected);
  /// \p Failed is called when connecting, reading or writing fails.
  void onEvents(ReadCallback Read, ErrorCallback Failed);
  void setReading(bool Wanted);
  void write(std::string Data);
  /// Closes the sending direction after all written data is sent.
  void shutdown();

private:
  struct State;
  std::shared_ptr<State> Shared;
};

} // namespace vanillayard

#endif
