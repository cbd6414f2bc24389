#include "socket_owner.h"

#include <unistd.h>

#include <array>
#include <cstdio>
#include <filesystem>
#include <fstream>
#include <sstream>
#include <string>
#include <system_error>

namespace tarragon::soak {
namespace {

/// The inode of the socket in /proc/net/tcp, or an empty string.
std::string FindInode(const boost::asio::ip::tcp::endpoint& local) {
  const auto bytes = local.address().to_v4().to_bytes();
  std::array<char, 32> wanted{};
  // The kernel prints the address in the byte order of the machine.
  std::snprintf(wanted.data(), wanted.size(), "%02X%02X%02X%02X:%04X", bytes[3],
                bytes[2], bytes[1], bytes[0], local.port());
  std::ifstream table("/proc/net/tcp");
  std::string line;
  while (std::getline(table, line)) {
    std::istringstream fields(line);
    std::string number, address, skipped, inode;
    fields >> number >> address;
    if (address != wanted.data()) continue;
    for (int i = 0; i < 7; ++i) fields >> skipped;
    fields >> inode;
    if (!inode.empty() && inode != "0") return inode;
  }
  return {};
}

}  // namespace

std::optional<pid_t> FindSocketOwner(
    const boost::asio::ip::tcp::endpoint& local,
    const std::vector<pid_t>& processes) {
  const std::string inode = FindInode(local);
  if (inode.empty()) return std::nullopt;
  const std::string wanted = "socket:[" + inode + "]";
  for (const pid_t pid : processes) {
    std::error_code error;
    std::filesystem::directory_iterator files(
        "/proc/" + std::to_string(pid) + "/fd", error);
    for (; !error && files != std::filesystem::directory_iterator();
         files.increment(error)) {
      std::error_code gone;
      if (std::filesystem::read_symlink(files->path(), gone) == wanted) {
        return pid;
      }
    }
  }
  return std::nullopt;
}

}  // namespace tarragon::soak
