#include "process_usage.h"

#include <arpa/inet.h>

#include <algorithm>
#include <array>
#include <cstdio>
#include <filesystem>
#include <fstream>
#include <sstream>
#include <system_error>

namespace tarragon::crowd {
namespace {

/// A socket that listens; its queue counts connections instead of bytes.
constexpr char kListening[] = "0A";
constexpr int kHexBase = 16;

std::filesystem::path FolderOf(pid_t process) {
  return std::filesystem::path("/proc") / std::to_string(process);
}

/// The address as /proc/net/tcp prints it.
std::string ToKernelText(const std::string& ip) {
  in_addr address{};
  inet_pton(AF_INET, ip.c_str(), &address);
  std::array<char, 9> text{};
  std::snprintf(text.data(), text.size(), "%08X", address.s_addr);
  return text.data();
}

/// A size in the status of the process, such as "VmHWM:".
std::size_t ReadStatus(pid_t process, const std::string& name) {
  std::ifstream file(FolderOf(process) / "status");
  std::string line;
  while (std::getline(file, line)) {
    if (line.rfind(name, 0) != 0) continue;
    return std::stoul(line.substr(line.find_first_of("0123456789"))) * 1024;
  }
  return 0;
}

}  // namespace

std::size_t PeakResidentBytes(pid_t process) {
  return ReadStatus(process, "VmHWM:");
}

std::size_t ResidentBytes(pid_t process) {
  return ReadStatus(process, "VmRSS:");
}

std::size_t CountSocketsAndPipes(pid_t process) {
  std::size_t count = 0;
  std::error_code error;
  for (const auto& each :
       std::filesystem::directory_iterator(FolderOf(process) / "fd", error)) {
    std::error_code gone;
    const std::string target =
        std::filesystem::read_symlink(each.path(), gone).string();
    if (target.rfind("socket:", 0) == 0 || target.rfind("pipe:", 0) == 0) {
      ++count;
    }
  }
  return count;
}

std::size_t UnreadBytes(const std::vector<std::string>& ips) {
  std::vector<std::string> wanted;
  wanted.reserve(ips.size());
  for (const std::string& ip : ips) wanted.push_back(ToKernelText(ip));
  std::ifstream file("/proc/net/tcp");
  std::string line;
  std::getline(file, line);
  std::size_t bytes = 0;
  while (std::getline(file, line)) {
    std::istringstream fields(line);
    std::string slot;
    std::string local;
    std::string remote;
    std::string state;
    std::string queues;
    fields >> slot >> local >> remote >> state >> queues;
    const std::string ip = local.substr(0, local.find(':'));
    if (state == kListening ||
        std::find(wanted.begin(), wanted.end(), ip) == wanted.end()) {
      continue;
    }
    bytes += std::stoul(queues.substr(queues.find(':') + 1), nullptr, kHexBase);
  }
  return bytes;
}

}  // namespace tarragon::crowd
