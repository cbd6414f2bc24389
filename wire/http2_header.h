#ifndef TARRAGON_WIRE_HTTP2_HEADER_H_
#define TARRAGON_WIRE_HTTP2_HEADER_H_

#include <nghttp2/nghttp2.h>

#include <cstdint>
#include <string_view>

namespace tarragon::wire {

/// A header for nghttp2, which copies both texts and changes neither.
inline nghttp2_nv MakeHeader(std::string_view name, std::string_view value) {
  return {reinterpret_cast<std::uint8_t*>(const_cast<char*>(name.data())),
          reinterpret_cast<std::uint8_t*>(const_cast<char*>(value.data())),
          name.size(), value.size(), NGHTTP2_NV_FLAG_NONE};
}

}  // namespace tarragon::wire

#endif  // TARRAGON_WIRE_HTTP2_HEADER_H_
