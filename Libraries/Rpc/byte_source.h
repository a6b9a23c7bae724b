/// Exposes a byte_pipe as a ByteSource capability.
#pragma once

#include "Http/http.h"
#include "Protocol/protocol.capnp.h"
#include "Rpc/rpc.h"

#include <memory>
#include <span>

namespace amaranthhoist {

/// Serves a pipe's bytes to a reader in another process. When the reader
/// disconnects, the pipe is abandoned, which ends the writer.
class pipe_source final : public wire::ByteSource::Server {
public:
  explicit pipe_source(std::shared_ptr<byte_pipe> Pipe);
  ~pipe_source() noexcept(false);

protected:
  kj::Promise<void> read(ReadContext Context) override;

private:
  std::shared_ptr<byte_pipe> Pipe;
};

/// Reads from a source in another process. Blocks the calling thread, which
/// must not be the loop's. Returns the same values as body_reader.
std::int64_t readFromSource(rpc_loop &Loop, wire::ByteSource::Client &Source,
                            std::span<char> Buffer);

} // namespace amaranthhoist
