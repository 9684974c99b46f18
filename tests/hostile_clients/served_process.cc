#include "hostile_clients/served_process.h"

#include <unistd.h>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/use_future.hpp>
#include <boost/beast/core/detail/base64.hpp>
#include <filesystem>
#include <fstream>
#include <iomanip>
#include <iterator>
#include <sstream>
#include <thread>
#include <utility>

#include "jasminespar/core/error.h"
#include "jasminespar/http/client.h"
#include "jasminespar/standins/site_plan.h"

namespace jasminespar::hostile_clients {

namespace asio = boost::asio;

namespace {

constexpr int kOk = 200;
constexpr int kAttempts = 150;
constexpr std::chrono::milliseconds kPause{100};

/// The limits are those that the users' pages show.
constexpr std::string_view kConfiguration =
    R"({"version":1,"services":[],"tenants":[],"limits":{"max_header_bytes":)"
    R"(16384,"max_body_bytes":262144},"routes":[{"name":"q","host":"jobs.test")"
    R"(,"prefix":"/q/","service":"work","public":true,"priority":1}]})";

constexpr std::string_view kJob =
    R"({"spec":"text","steps":[{"count":1,"cpu":500,"mem_mb":256,"gpu":1}]})";

std::string ToBase64(std::string_view text) {
  namespace base64 = boost::beast::detail::base64;
  std::string encoded(base64::encoded_size(text.size()), '\0');
  encoded.resize(base64::encode(encoded.data(), text.data(), text.size()));
  return encoded;
}

std::string SettingsText(const Ports& ports, std::uint16_t table,
                         std::size_t memory_mib, std::size_t max_connections) {
  std::ostringstream text;
  const std::string host = "127.0.0.1:";
  text << "[instance]\nid = served\ndata_centre = here\nmemory = " << memory_mib
       << "MiB\n[listen]\ncallers = " << host << ports.callers
       << "\nreadiness = " << host << ports.readiness << "\nmetrics = " << host
       << ports.metrics << "\npeers = " << host << ports.peers
       << "\nmax_connections = " << max_connections
       << "\n[table]\naddress = " << host << table
       << "\n[clients]\nmax_peer_connections = " << max_connections
       << "\nmax_probe_connections = " << max_connections << "\n";
  return text.str();
}

}  // namespace

ServedProcess::ServedProcess(std::size_t memory_mib,
                             std::size_t max_connections)
    : folder_(std::filesystem::temp_directory_path() /
              ("jasminespar-hostile-" + std::to_string(getpid()))),
      first_port_(standins::FindFreePorts(5)),
      ports_{first_port_, static_cast<std::uint16_t>(first_port_ + 1),
             static_cast<std::uint16_t>(first_port_ + 2),
             static_cast<std::uint16_t>(first_port_ + 3)},
      table_(table_duty_.context(),
             static_cast<std::uint16_t>(first_port_ + 4)) {
  table_.PutConfiguration(ToBase64(kConfiguration));
  table_.Start();
  table_duty_.Start();
  std::filesystem::create_directories(folder_);
  const std::string settings = folder_ + "/served.ini";
  std::ofstream(settings) << SettingsText(
      ports_, static_cast<std::uint16_t>(first_port_ + 4), memory_mib,
      max_connections);
  process_.emplace(
      std::vector<std::string>{JASMINESPAR_BINARY_DIR "/apps/jasmined",
                               "--serve", "jobs", "--settings", settings},
      folder_ + "/served.log");
}

ServedProcess::~ServedProcess() {
  process_.reset();
  table_duty_.Stop();
  std::error_code ignored;
  std::filesystem::remove_all(folder_, ignored);
}

std::size_t ServedProcess::PeakMemoryKib() const {
  std::ifstream status("/proc/" + std::to_string(process_->pid()) + "/status");
  std::string word;
  std::size_t kib = 0;
  while (status >> word) {
    if (word == "VmHWM:") status >> kib;
  }
  return kib;
}

std::size_t ServedProcess::OpenDescriptors() const {
  std::error_code ignored;
  const std::filesystem::directory_iterator open(
      "/proc/" + std::to_string(process_->pid()) + "/fd", ignored);
  return static_cast<std::size_t>(
      std::distance(begin(open), std::filesystem::directory_iterator()));
}

bool ServedProcess::AnswersOrdinaryRequest() {
  for (int i = 0; i < kAttempts && lives(); ++i) {
    std::ostringstream target;
    target << "/q/" << std::hex << std::setw(16) << std::setfill('0')
           << ++last_job_;
    if (Ask(ports_.callers, "POST", target.str(), std::string(kJob)) == kOk) {
      return true;
    }
    std::this_thread::sleep_for(kPause);
  }
  return false;
}

int ServedProcess::Ask(std::uint16_t port, const std::string& method,
                       const std::string& target, const std::string& body) {
  http::Request request;
  request.method = method;
  request.target = target;
  request.headers = {{"Host", "jobs.test"}};
  request.body = body;
  asio::io_context context{1};
  http::Client client(context, "127.0.0.1", port, 1);
  auto response = asio::co_spawn(context, client.Send(std::move(request), 5s),
                                 asio::use_future);
  context.run();
  try {
    return response.get().status;
  } catch (const Error&) {
    return 0;
  }
}

}  // namespace jasminespar::hostile_clients
