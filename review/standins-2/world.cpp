#include "world.hpp"

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <cctype>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <random>
#include <stdexcept>

namespace review {

namespace {

std::string folder_in_use;
std::ofstream record_file;
std::mutex record_mutex;
Clock::time_point begun = Clock::now();

constexpr std::int64_t kHoldMaxMs = 10'000;  // hold_max_ms
constexpr std::int64_t kStopMs = 60;         // Less than stop_ms.
constexpr std::int64_t kTxMs = 5;            // tx_ms
constexpr std::int64_t kHeartbeatMs = 1'500;
constexpr std::size_t kMaxRows = 500;

std::string Lower(std::string text) {
  for (char& c : text) c = static_cast<char>(std::tolower(c));
  return text;
}

std::string Decode(const std::string& text) {
  std::string out;
  for (std::size_t i = 0; i < text.size(); ++i) {
    if (text[i] == '%' && i + 2 < text.size()) {
      out += static_cast<char>(std::stoi(text.substr(i + 1, 2), nullptr, 16));
      i += 2;
    } else {
      out += text[i];
    }
  }
  return out;
}

std::string ToBase64(const std::string& bytes) {
  static const char* digits =
      "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
  std::string out;
  for (std::size_t i = 0; i < bytes.size(); i += 3) {
    unsigned n = 0;
    for (std::size_t j = 0; j < 3; ++j) {
      n = n << 8U | (i + j < bytes.size()
                         ? static_cast<unsigned char>(bytes[i + j])
                         : 0U);
    }
    for (std::size_t j = 0; j < 4; ++j) {
      out += i + j <= bytes.size() + 0 || j < 2
                 ? digits[n >> (18 - 6 * j) & 63U]
                 : '=';
    }
    const std::size_t left = bytes.size() - i;
    if (left == 1) out.replace(out.size() - 2, 2, "==");
    if (left == 2) out.replace(out.size() - 1, 1, "=");
  }
  return out;
}

/// Reads until `buffer` holds a whole message.
/// @return its length, or 0 when the connection ended or the time is over.
std::size_t ReadMessage(int socket, std::string& buffer, std::size_t& head,
                        Clock::time_point deadline) {
  while (true) {
    const std::size_t end = buffer.find("\r\n\r\n");
    if (end != std::string::npos) {
      head = end + 4;
      std::size_t length = 0;
      const std::string lower = Lower(buffer.substr(0, head));
      const std::size_t at = lower.find("\r\ncontent-length:");
      if (at != std::string::npos) {
        length = std::strtoull(lower.c_str() + at + 17, nullptr, 10);
      }
      if (buffer.size() >= head + length) return head + length;
    }
    const auto left = std::chrono::duration_cast<std::chrono::milliseconds>(
        deadline - Clock::now());
    if (left.count() <= 0) return 0;
    pollfd wait{socket, POLLIN, 0};
    if (poll(&wait, 1, static_cast<int>(left.count())) <= 0) return 0;
    char piece[16384];
    const ssize_t got = recv(socket, piece, sizeof piece, 0);
    if (got <= 0) return 0;
    buffer.append(piece, static_cast<std::size_t>(got));
  }
}

bool SendAll(int socket, const std::string& text) {
  std::size_t sent = 0;
  while (sent < text.size()) {
    const ssize_t now =
        send(socket, text.data() + sent, text.size() - sent, MSG_NOSIGNAL);
    if (now <= 0) return false;
    sent += static_cast<std::size_t>(now);
  }
  return true;
}

std::map<std::string, std::string> HeadersOf(const std::string& head) {
  std::map<std::string, std::string> headers;
  std::size_t at = head.find("\r\n") + 2;
  while (at < head.size()) {
    const std::size_t end = head.find("\r\n", at);
    if (end == std::string::npos || end == at) break;
    const std::string line = head.substr(at, end - at);
    const std::size_t colon = line.find(':');
    if (colon != std::string::npos) {
      std::size_t value = colon + 1;
      while (value < line.size() && line[value] == ' ') ++value;
      headers[Lower(line.substr(0, colon))] = line.substr(value);
    }
    at = end + 2;
  }
  return headers;
}

int Listen(int port) {
  const int listener = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const int on = 1;
  setsockopt(listener, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  address.sin_port = htons(static_cast<std::uint16_t>(port));
  if (bind(listener, reinterpret_cast<sockaddr*>(&address), sizeof address) !=
          0 ||
      listen(listener, 256) != 0) {
    close(listener);
    throw std::runtime_error("cannot listen");
  }
  return listener;
}

int PortOf(int listener) {
  sockaddr_in address{};
  socklen_t size = sizeof address;
  getsockname(listener, reinterpret_cast<sockaddr*>(&address), &size);
  return ntohs(address.sin_port);
}

Response JsonResponse(int status, const Json& body) {
  Response response;
  response.status = status;
  response.body = body.dump();
  return response;
}

std::int64_t WallMs() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

}  // namespace

void OpenRecord(const std::string& path) {
  record_file.open(path);
  begun = Clock::now();
}

void Record(const std::string& line) {
  const std::lock_guard<std::mutex> lock(record_mutex);
  char time[32];
  std::snprintf(time, sizeof time, "%8.3f ",
                static_cast<double>(NowMs()) / 1000.0);
  record_file << time << line << std::endl;
}

std::int64_t NowMs() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(Clock::now() -
                                                               begun)
      .count();
}

void SleepMs(std::int64_t ms) {
  std::this_thread::sleep_for(std::chrono::milliseconds(ms));
}

bool Trouble() {
  const char* value = std::getenv("TROUBLE");
  return value == nullptr || std::string(value) != "0";
}

// Server.

Server::Server(Handler handler, int port) : handler_(std::move(handler)) {
  listener_ = Listen(port);
  port_ = PortOf(listener_);
  thread_ = std::thread([this] { Accept(); });
}

Server::~Server() { Crash(); }

void Server::Accept() {
  while (true) {
    const int accepted = accept4(listener_, nullptr, nullptr, SOCK_CLOEXEC);
    if (accepted < 0) {
      const std::lock_guard<std::mutex> lock(mutex_);
      if (stopped_) return;
      continue;
    }
    const int on = 1;
    setsockopt(accepted, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    {
      const std::lock_guard<std::mutex> lock(mutex_);
      if (stopped_) {
        close(accepted);
        return;
      }
      sockets_.insert(accepted);
    }
    std::thread([this, accepted] { Serve(accepted); }).detach();
  }
}

void Server::Serve(int socket) {
  std::string buffer;
  while (true) {
    std::size_t head = 0;
    const std::size_t size =
        ReadMessage(socket, buffer, head, Clock::now() + std::chrono::hours(1));
    if (size == 0) break;
    Request request;
    const std::string text = buffer.substr(0, head);
    request.body = buffer.substr(head, size - head);
    buffer.erase(0, size);
    const std::size_t first = text.find(' ');
    const std::size_t second = text.find(' ', first + 1);
    request.method = text.substr(0, first);
    std::string target = text.substr(first + 1, second - first - 1);
    const std::size_t mark = target.find('?');
    request.path = target.substr(0, mark);
    if (mark != std::string::npos) {
      std::string rest = target.substr(mark + 1) + '&';
      for (std::size_t at = 0; at < rest.size();) {
        const std::size_t end = rest.find('&', at);
        const std::string pair = rest.substr(at, end - at);
        const std::size_t equal = pair.find('=');
        if (equal != std::string::npos) {
          request.query[pair.substr(0, equal)] =
              Decode(pair.substr(equal + 1));
        }
        at = end + 1;
      }
    }
    request.headers = HeadersOf(text);
    Response response;
    try {
      response = handler_(request);
    } catch (const std::exception& error) {
      Record(std::string("stand-in failed: ") + error.what());
      response = JsonResponse(400, {{"reason", "malformed"}});
    }
    if (response.lose) break;
    if (response.hold_back_ms > 0) SleepMs(response.hold_back_ms);
    {
      const std::lock_guard<std::mutex> lock(mutex_);
      if (stopped_) break;
    }
    const bool closes = response.closes;
    if (!SendAll(socket,
                 "HTTP/1.1 " + std::to_string(response.status) +
                     " X\r\nContent-Type: application/json\r\n" +
                     (closes ? "Connection: close\r\n" : "") +
                     "Content-Length: " +
                     std::to_string(response.body.size()) + "\r\n\r\n" +
                     response.body)) {
      break;
    }
    if (closes) break;
  }
  const std::lock_guard<std::mutex> lock(mutex_);
  if (silent_) return;
  if (sockets_.erase(socket) > 0) close(socket);
}

void Server::Crash(bool silent) {
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    if (stopped_) return;
    stopped_ = true;
    silent_ = silent;
    for (const int socket : sockets_) {
      if (silent) break;
      const linger reset{1, 0};
      setsockopt(socket, SOL_SOCKET, SO_LINGER, &reset, sizeof reset);
      shutdown(socket, SHUT_RDWR);
    }
    shutdown(listener_, SHUT_RDWR);
  }
  if (thread_.joinable()) thread_.join();
  close(listener_);
}

Response Call(int port, const std::string& method, const std::string& path,
              const std::string& body,
              const std::map<std::string, std::string>& headers,
              std::int64_t timeout_ms) {
  Response response;
  response.status = 0;
  const auto deadline = Clock::now() + std::chrono::milliseconds(timeout_ms);
  const int connection = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  address.sin_port = htons(static_cast<std::uint16_t>(port));
  std::string text = method + " " + path + " HTTP/1.1\r\n";
  for (const auto& [name, value] : headers) text += name + ": " + value + "\r\n";
  text += "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
  std::string buffer;
  std::size_t head = 0;
  if (connect(connection, reinterpret_cast<sockaddr*>(&address),
              sizeof address) == 0 &&
      SendAll(connection, text)) {
    const std::size_t size = ReadMessage(connection, buffer, head, deadline);
    if (size > 0) {
      response.status = std::atoi(buffer.c_str() + 9);
      response.body = buffer.substr(head, size - head);
    }
  }
  close(connection);
  return response;
}

Response Client(int port, const std::string& method, const std::string& path,
                const std::string& body, std::int64_t timeout_ms) {
  Response response =
      Call(port, method, path, body,
           {{"Host", "jobs.example"},
            {"Content-Type", "application/json"},
            {"Authorization", "Token key-of-tenant-1"},
            {"Deadline-Ms", std::to_string(timeout_ms)}},
           timeout_ms);
  Record("client: " + method + " " + path + " " + body.substr(0, 200) +
         " -> " + std::to_string(response.status) + " " + response.body);
  return response;
}

// Store.

Store::Store() {
  server_ = std::make_unique<Server>([this](const Request& request) {
    if (before) {
      if (std::optional<Response> instead = before(request)) return *instead;
    }
    Response response = Handle(request);
    if (after) after(request, response);
    return response;
  });
}

Json Store::ToJson(const Row& row) {
  Json json{{"table", row.table},
            {"part", row.part},
            {"key", row.key},
            {"ver", row.version}};
  if (row.deleted) {
    json["deleted"] = true;
  } else {
    json["value"] = row.value;
  }
  return json;
}

void Store::Apply(Row row) {
  row.version = version_;
  history_.push_back(row);
  rows_[{row.table, row.part, row.key}] = row;
}

void Store::Put(const std::string& table, const std::string& key,
                const Json& value) {
  const std::lock_guard<std::mutex> lock(mutex_);
  ++version_;
  Apply({table, "", key, ToBase64(value.dump()), 0, false});
  changed_.notify_all();
}

void Store::Delete(const std::string& table, const std::string& key) {
  const std::lock_guard<std::mutex> lock(mutex_);
  const auto found = rows_.find({table, "", key});
  if (found == rows_.end() || found->second.deleted) return;
  ++version_;
  Apply({table, "", key, "", 0, true});
  changed_.notify_all();
}

void Store::ForgetHistory() {
  const std::lock_guard<std::mutex> lock(mutex_);
  history_.clear();
  history_from_ = version_;
  changed_.notify_all();
}

std::size_t Store::RowsOf(const std::string& table) {
  const std::lock_guard<std::mutex> lock(mutex_);
  std::size_t count = 0;
  for (const auto& [key, row] : rows_) {
    if (row.table == table && !row.deleted) ++count;
  }
  return count;
}

Response Store::Handle(const Request& request) {
  if (request.path == "/jasminespar/rows-tx") {
    SleepMs(kTxMs);
    return Transact(Json::parse(request.body));
  }
  if (request.path == "/jasminespar/rows-get") return Get(request);
  if (request.path == "/jasminespar/rows-feed") return Feed(request);
  return JsonResponse(404, {{"reason", "unknown"}});
}

Response Store::Transact(const Json& body) {
  const std::lock_guard<std::mutex> lock(mutex_);
  const auto find = [this](const Json& row) -> Row* {
    const auto found =
        rows_.find({row.at("table"), row.at("part"), row.at("key")});
    return found == rows_.end() || found->second.deleted ? nullptr
                                                         : &found->second;
  };
  Json current = Json::array();
  bool holds = true;
  for (const Json& condition : body.value("expected_rev", Json::array())) {
    const Row* row = find(condition);
    if (row != nullptr) current.push_back(ToJson(*row));
    const std::uint64_t version = row == nullptr ? 0 : row->version;
    holds = holds && version == condition.at("ver").get<std::uint64_t>();
  }
  if (!holds) {
    return JsonResponse(
        412, {{"rows", current}, {"ver", version_}, {"now_ms", NowMs()}});
  }
  ++version_;
  for (const Json& row : body.value("upserts", Json::array())) {
    Apply({row.at("table"), row.at("part"), row.at("key"), row.at("value"), 0,
           false});
  }
  for (const Json& row : body.value("deletes", Json::array())) {
    if (find(row) == nullptr) continue;
    Apply({row.at("table"), row.at("part"), row.at("key"), "", 0, true});
  }
  changed_.notify_all();
  return JsonResponse(200, {{"ver", version_}, {"now_ms", NowMs()}});
}

Response Store::Get(const Request& request) {
  const std::lock_guard<std::mutex> lock(mutex_);
  const auto text = [&](const char* name) {
    const auto found = request.query.find(name);
    return found == request.query.end() ? std::string() : found->second;
  };
  const std::string limit = text("limit");
  const std::size_t most =
      limit.empty() ? kMaxRows
                    : std::min<std::size_t>(kMaxRows, std::stoul(limit));
  Json rows = Json::array();
  bool more = false;
  for (const auto& [key, row] : rows_) {
    if (row.deleted || row.table != text("table") || row.part != text("part"))
      continue;
    if (row.key < text("from")) continue;
    if (!text("to").empty() && row.key >= text("to")) continue;
    if (rows.size() == most) {
      more = true;
      break;
    }
    rows.push_back(ToJson(row));
  }
  return JsonResponse(200, {{"rows", rows},
                            {"has_more", more},
                            {"ver", version_},
                            {"now_ms", NowMs()}});
}

Response Store::Feed(const Request& request) {
  std::unique_lock<std::mutex> lock(mutex_);
  const std::string table = request.query.at("table");
  const std::uint64_t after = std::stoull(request.query.at("after"));
  const auto deadline =
      Clock::now() +
      std::chrono::milliseconds(std::stoll(request.query.at("wait_ms")));
  while (true) {
    if (after < history_from_) {
      return JsonResponse(410, {{"ver", version_}, {"now_ms", NowMs()}});
    }
    Json rows = Json::array();
    std::uint64_t through = version_;
    const auto first = std::upper_bound(
        history_.begin(), history_.end(), after,
        [](std::uint64_t version, const Row& row) {
          return version < row.version;
        });
    for (auto row = first; row != history_.end(); ++row) {
      if (row->table != table) continue;
      if (rows.size() >= kMaxRows &&
          row->version != rows.back().at("ver").get<std::uint64_t>()) {
        through = rows.back().at("ver");
        break;
      }
      rows.push_back(ToJson(*row));
    }
    if (!rows.empty() || Clock::now() >= deadline) {
      return JsonResponse(
          200, {{"rows", rows}, {"ver", through}, {"now_ms", NowMs()}});
    }
    changed_.wait_until(lock, deadline);
  }
}

// Runners.

std::int64_t Runners::RunningNow(const std::string& job) {
  const std::lock_guard<std::mutex> lock(mutex);
  return std::count_if(seen.begin(), seen.end(), [&](const RunSeen& run) {
    return run.to_ms < 0 && run.task.starts_with(job);
  });
}

Runner::Runner(Runners& all, Store& store, std::string id, std::string service,
               std::string kind, std::string rack)
    : all_(all),
      store_(store),
      id_(std::move(id)),
      service_(std::move(service)),
      kind_(std::move(kind)),
      rack_(std::move(rack)) {
  Begin();
  ticker_ = std::thread([this] {
    while (true) {
      SleepMs(5);
      std::unique_lock<std::mutex> lock(all_.mutex);
      if (quit_) return;
      if (!up_) continue;
      Tick();
      if (NowMs() < next_beat_) continue;
      next_beat_ = NowMs() + kHeartbeatMs;
      if (cut_from_store) continue;
      ++seq_;
      const Json entry = Entry();
      lock.unlock();
      store_.Put("servers", id_, entry);
    }
  });
}

Runner::~Runner() {
  {
    const std::lock_guard<std::mutex> lock(all_.mutex);
    quit_ = true;
    up_ = false;
    all_.changed.notify_all();
  }
  ticker_.join();
  server_.reset();
}

void Runner::Begin() {
  std::uint64_t life = 0;
  {
    const std::lock_guard<std::mutex> lock(all_.mutex);
    life = ++life_;
    born_ms_ = NowMs();
    born_wall_ = WallMs();
    state_ = "ready";
    fence_ = seq_ = last_end_ = 0;
    until_ = 0;
    runs_.clear();
    highest_ended_.clear();
    ends_.clear();
  }
  server_ = std::make_unique<Server>(
      [this, life](const Request& request) { return Handle(request, life); },
      port_);
  port_ = server_->port();
  Json entry;
  {
    const std::lock_guard<std::mutex> lock(all_.mutex);
    up_ = true;
    entry = Entry();
  }
  store_.Put("servers", id_, entry);
  Record("runner " + id_ + " begins, life " + std::to_string(life));
}

void Runner::Crash(std::int64_t entry_ms, bool silent) {
  std::uint64_t life = 0;
  if (silent) server_->Crash(true);  // Before a waiting answer ends.
  {
    const std::lock_guard<std::mutex> lock(all_.mutex);
    up_ = false;
    life = life_;
    for (RunSeen& run : all_.seen) {
      if (run.runner != id_ || run.to_ms >= 0) continue;
      run.to_ms = NowMs();
      run.how = "lost with its runner";
      Record("runner " + id_ + ": " + run.task + " run " +
             std::to_string(run.run) + " is lost");
    }
    runs_.clear();
    all_.changed.notify_all();
  }
  server_->Crash(silent);
  if (silent) old_servers_.push_back(std::move(server_));
  Record("runner " + id_ + " has ended" +
         (silent ? ", its open connections are silent" : ""));
  if (entry_ms == 0) {
    store_.Delete("servers", id_);
    return;
  }
  std::thread([this, life, entry_ms] {
    SleepMs(entry_ms);
    {
      const std::lock_guard<std::mutex> lock(all_.mutex);
      if (quit_ || life_ != life) return;
    }
    store_.Delete("servers", id_);
    Record("the platform removes the entry of " + id_);
  }).detach();
}

void Runner::Drain(std::int64_t left_ms) {
  Json entry;
  {
    const std::lock_guard<std::mutex> lock(all_.mutex);
    state_ = "draining";
    drain_until_ = NowMs() + left_ms;
    next_beat_ = NowMs() + kHeartbeatMs;
    ++seq_;
    entry = Entry();
  }
  store_.Put("servers", id_, entry);
  Record("runner " + id_ + " drains, " + std::to_string(left_ms) + " ms left");
}

void Runner::Leave() { Crash(0); }

std::int64_t Runner::ClockMs() const { return 1000 + NowMs() - born_ms_; }

Json Runner::Entry() {
  Json entry{{"service", service_},
             {"addr", "127.0.0.1:" + std::to_string(port_)},
             {"zone", "zone-a"},
             {"version", "v1"},
             {"slots", 8},
             {"state", state_},
             {"cold_remaining_ms", 0},
             {"capacity", {{"cpu", 128000}, {"mem_mb", 524288}, {"gpu", 8}}},
             {"labels", {kind_, rack_}},
             {"clock_ms", ClockMs()},
             {"seq", seq_},
             {"born", born_wall_}};
  if (state_ == "draining") {
    entry["drain_remaining_ms"] =
        std::max<std::int64_t>(0, drain_until_ - NowMs());
  }
  return entry;
}

void Runner::NoteEnd(const std::string& task, std::uint64_t run,
                     const std::string& how) {
  const std::string saved;
  ends_.push_back({++last_end_, task, run, how, saved});
  highest_ended_[task] = std::max(highest_ended_[task], run);
  for (RunSeen& each : all_.seen) {
    if (each.runner != id_ || each.task != task || each.run != run ||
        each.to_ms >= 0) {
      continue;
    }
    each.to_ms = NowMs();
    each.how = how;
  }
  Record("runner " + id_ + ": end " + std::to_string(last_end_) + ", " + task +
         " run " + std::to_string(run) + " " + how);
  all_.changed.notify_all();
}

void Runner::EndRun(const std::string& task, const std::string& how) {
  const auto found = runs_.find(task);
  if (found == runs_.end()) return;
  const std::uint64_t run = found->second.run;
  runs_.erase(found);
  NoteEnd(task, run, how);
}

void Runner::Tick() {
  const std::int64_t now = NowMs();
  std::vector<std::pair<std::string, std::string>> over;
  for (const auto& [task, run] : runs_) {
    if (run.stop_at >= 0 && now >= run.stop_at) {
      over.emplace_back(task, "stopped");
    } else if (ClockMs() >= until_) {
      over.emplace_back(task, "lapsed");
    } else if (now >= run.ends_at) {
      over.emplace_back(task, all_.ending ? all_.ending(task, run.run)
                                          : std::string("done"));
    }
  }
  for (const auto& [task, how] : over) EndRun(task, how);
}

Response Runner::Conflict(const std::string& reason) {
  return JsonResponse(409, {{"clock_ms", ClockMs()}, {"reason", reason}});
}

Response Runner::Handle(const Request& request, std::uint64_t life) {
  if (request.method == "GET") return {};
  const Json body = Json::parse(request.body);
  if (before) {
    if (std::optional<Response> instead = before(request, body)) {
      Record("runner " + id_ + ": " + request.path + " " + request.body +
             " -> " + std::to_string(instead->status) + " " + instead->body);
      return *instead;
    }
  }
  std::unique_lock<std::mutex> lock(all_.mutex);
  Response response;
  if (life != life_ || !up_) {
    response.lose = true;
    return response;
  }
  const auto instance = request.headers.find("expect-instance");
  const auto fence = body.value("fence", std::uint64_t{0});
  if (instance != request.headers.end() && instance->second != id_) {
    response.status = 421;
  } else if (fence < fence_) {
    response = Conflict("fence");
  } else {
    fence_ = fence;
    if (request.path == "/jasminespar/run-start") {
      response = Start(body);
    } else if (request.path == "/jasminespar/run-stop") {
      response = Stop(body);
    } else if (request.path == "/jasminespar/hold") {
      response = Hold(body, lock, life);
    } else {
      response.status = 404;
    }
  }
  if (after) after(request, body, response);
  Record("runner " + id_ + ": " + request.path + " " +
         request.body.substr(0, 300) + " -> " +
         std::to_string(response.status) + " " + response.body +
         (response.hold_back_ms > 0
              ? " (on its way for " + std::to_string(response.hold_back_ms) +
                    " ms)"
              : ""));
  return response;
}

Response Runner::Start(const Json& body) {
  const auto until = body.value("until_ms", std::int64_t{0});
  if (until > 0 && until <= ClockMs()) return Conflict("late");
  until_ = std::max(until_, std::min(until, ClockMs() + kHoldMaxMs));
  const std::string task = body.at("task");
  const auto run = body.at("run").get<std::uint64_t>();
  const auto found = runs_.find(task);
  if (found != runs_.end() && found->second.run == run) {
    return JsonResponse(200, {{"clock_ms", ClockMs()}});
  }
  if (run <= highest_ended_[task] ||
      (found != runs_.end() && run < found->second.run)) {
    return Conflict("old");
  }
  Run started;
  started.run = run;
  started.from = NowMs();
  started.work = all_.work_ms ? all_.work_ms(task, run) : 1000;
  started.ends_at = started.from + started.work;
  runs_[task] = started;
  RunSeen seen;
  seen.task = task;
  seen.runner = id_;
  seen.run = run;
  seen.from_ms = NowMs();
  all_.seen.push_back(seen);
  Record("runner " + id_ + ": " + task + " run " + std::to_string(run) +
         " starts");
  all_.changed.notify_all();
  return JsonResponse(200, {{"clock_ms", ClockMs()}});
}

Response Runner::Stop(const Json& body) {
  const std::string task = body.at("task");
  const auto run = body.at("run").get<std::uint64_t>();
  const auto found = runs_.find(task);
  if (found != runs_.end() && found->second.run == run) {
    if (found->second.stop_at < 0) found->second.stop_at = NowMs() + kStopMs;
  } else {
    highest_ended_[task] = std::max(highest_ended_[task], run);
  }
  return JsonResponse(200, {{"clock_ms", ClockMs()}});
}

Response Runner::Hold(const Json& body, std::unique_lock<std::mutex>& lock,
                      std::uint64_t life) {
  ++holds;
  const auto until = body.value("until_ms", std::int64_t{0});
  until_ = std::max(until_, std::min(until, ClockMs() + kHoldMaxMs));
  const auto last_seen = body.value("last_seen", std::uint64_t{0});
  while (!ends_.empty() &&
         ends_.front().at(0).get<std::uint64_t>() <= last_seen) {
    for (RunSeen& run : all_.seen) {
      if (run.runner == id_ && run.task == ends_.front().at(1) &&
          run.run == ends_.front().at(2).get<std::uint64_t>()) {
        run.noted = true;
      }
    }
    ends_.pop_front();
  }
  const auto deadline =
      Clock::now() + std::chrono::milliseconds(
                         body.value("wait_ms", std::int64_t{0}));
  while (ends_.empty() && Clock::now() < deadline && life_ == life && up_) {
    all_.changed.wait_until(lock, deadline);
  }
  Response gone;
  gone.lose = true;
  if (life_ != life || !up_) return gone;
  Json running = Json::array();
  for (const auto& [task, run] : runs_) {
    const std::int64_t percent =
        std::min<std::int64_t>(99, 100 * (NowMs() - run.from) /
                                       std::max<std::int64_t>(1, run.work));
    running.push_back({task, run.run, run.checkpoint, percent});
  }
  Json finished = Json::array();
  for (const Json& end : ends_) {
    if (finished.size() < 500) finished.push_back(end);
  }
  Json answer{{"clock_ms", ClockMs()},
              {"born", born_wall_},
              {"running_count", running},
              {"finished", finished}};
  if (state_ == "draining") {
    answer["drain_remaining_ms"] =
        std::max<std::int64_t>(0, drain_until_ - NowMs());
  }
  return JsonResponse(200, answer);
}

std::vector<std::unique_ptr<Runner>> TwelveRunners(Runners& all, Store& store) {
  constexpr int kRunners = 12;
  std::vector<std::unique_ptr<Runner>> runners;
  for (int i = 1; i <= kRunners; ++i) {
    const std::string number = (i < 10 ? "0" : "") + std::to_string(i);
    runners.push_back(std::make_unique<Runner>(
        all, store, "i-runner-" + number, "service-1",
        i == kRunners ? "kind-b" : "kind-a", i <= 6 ? "r1-1" : "r1-2"));
  }
  return runners;
}

// Instances.

int FreePort() {
  // Below the ports that the system gives to connections, so that none of these
  // takes it before the instance does.
  static std::set<int> given;
  static std::mt19937 random{std::random_device{}()};
  while (true) {
    const int port = std::uniform_int_distribution<int>(12'000, 30'000)(random);
    if (!given.insert(port).second) continue;
    try {
      close(Listen(port));
      return port;
    } catch (const std::runtime_error&) {
      continue;
    }
  }
}

std::string TemporaryFolder() {
  char name[] = "/tmp/review-2-XXXXXX";
  if (mkdtemp(name) == nullptr) throw std::runtime_error("no folder");
  folder_in_use = name;
  return name;
}

void Finish(int result, const std::vector<Instance*>& instances) {
  for (Instance* instance : instances) {
    if (!instance->running()) continue;
    instance->Signal(SIGCONT);
    instance->Signal(SIGKILL);
    instance->WaitEnd();
  }
  std::error_code ignored;
  if (!folder_in_use.empty() && std::getenv("KEEP_LOGS") == nullptr) {
    std::filesystem::remove_all(folder_in_use, ignored);
  }
  Record("result " + std::to_string(result));
  std::cout << "result " << result << std::endl;
  std::quick_exit(result);
}

Instance::Instance(std::string given, const std::string& zone, int store_port,
                   const std::string& folder)
    : name(std::move(given)),
      settings_(folder + "/" + name + ".ini"),
      log_(folder + "/" + name + ".log") {
  callers = FreePort();
  readiness = FreePort();
  metrics = FreePort();
  peers = FreePort();
  // As deploy/instance.ini.template is filled in for a small site.
  std::ofstream file(settings_);
  const auto address = [](int port) {
    return "127.0.0.1:" + std::to_string(port);
  };
  const char* status = std::getenv("REVIEW_STATUS_S");
  file << "[instance]\nid = " << name << "\ndata_centre = " << zone
       << "\nmemory = 260MiB\n\n[listen]\ncallers = " << address(callers)
       << "\nreadiness = " << address(readiness)
       << "\nmetrics = " << address(metrics) << "\npeers = " << address(peers)
       << "\n\n[table]\naddress = " << address(store_port)
       << "\nmax_row = 65536B\n\n[workers]\nmax_lease = 10000ms\n"
          "resume_delay = 250ms\nstop_limit = 900ms\n\n[jobs]\n"
          "status_retention = "
       << (status == nullptr ? "120" : status)
       << "s\nreclaim_within = 3400ms\n\n"
          "[process]\nshutdown_grace = 6s\n";
}

Instance::~Instance() {
  if (running()) {
    Signal(SIGCONT);
    Signal(SIGKILL);
    WaitEnd();
  }
}

void Instance::Start() {
  pid = fork();
  if (pid == 0) {
    prctl(PR_SET_PDEATHSIG, SIGKILL);
    const int log =
        open(log_.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0600);
    dup2(log, 1);
    dup2(log, 2);
    setenv("JASMINESPAR_BOOT", settings_.c_str(), 1);
    execl("target/apps/jasmined", "target/apps/jasmined", "--serve", "jobs",
          static_cast<char*>(nullptr));
    _exit(127);
  }
  Record("instance " + name + " starts");
}

void Instance::Signal(int number) {
  Record("instance " + name + " gets signal " + std::to_string(number));
  kill(pid, number);
}

void Instance::WaitEnd() {
  if (pid > 0) waitpid(pid, nullptr, 0);
  pid = -1;
}

bool Instance::running() {
  if (pid <= 0) return false;
  if (waitpid(pid, nullptr, WNOHANG) == pid) {
    pid = -1;
    return false;
  }
  return true;
}

bool Instance::WaitReady(std::int64_t ms) {
  const std::int64_t end = NowMs() + ms;
  while (NowMs() < end) {
    if (Call(readiness, "GET", "/jasminespar/readyz", "", {{"Host", "x"}}, 500)
            .status == 200) {
      return true;
    }
    SleepMs(100);
  }
  return false;
}

Json Configuration(std::uint64_t version, int guaranteed) {
  const auto route = [](const std::string& name, int priority) {
    return Json{{"name", name},
                {"host", "jobs.example"},
                {"prefix", "/" + name + "/"},
                {"kind", "non_idempotent"},
                {"timeout_ms", 3000},
                {"target_runtime_ms", 1000},
                {"priority", priority},
                {"service", "service-1"},
                {"max_attempts", 4},
                {"slack_factor", 3.0},
                {"public", false}};
  };
  return {{"version", version},
          {"routes", {route("queue-1", 1), route("queue-0", 0)}},
          {"services",
           {{{"name", "service-1"},
             {"health_path", "/healthz"},
             {"max_conns", 64},
             {"protocol", "h1"},
             {"tls", false},
             {"admission_control", false},
             {"standby", false}}}},
          {"limits",
           {{"max_header_bytes", 16384},
            {"max_body_bytes", 262144},
            {"header_timeout_ms", 3000},
            {"idle_timeout_ms", 15000}}},
          {"tenants",
           {{{"name", "tenant-1"},
             {"api_keys", {"key-of-tenant-1"}},
             {"priority", 1},
             {"guaranteed", {{"gpu", guaranteed}}}}}}};
}

}  // namespace review
