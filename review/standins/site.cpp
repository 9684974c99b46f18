#include "site.hpp"

#include <fcntl.h>
#include <signal.h>
#include <spawn.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <boost/asio/connect.hpp>
#include <boost/asio/io_context.hpp>
#include <cstdio>
#include <cstdlib>
#include <fstream>
#include <iostream>
#include <random>

extern char** environ;

namespace review {

namespace asio = boost::asio;
namespace beast = boost::beast;
using Tcp = asio::ip::tcp;

namespace {

const Clock::time_point kBegin = Clock::now();
std::mutex record_mutex;
std::ofstream record_file;

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

/// @return a port that is free, below those that the system gives to
///     connections, and not returned before.
std::uint16_t FreePort() {
  static std::mt19937 random(std::random_device{}());
  static std::set<std::uint16_t> used;
  std::uniform_int_distribution<int> any(20000, 32000);
  while (true) {
    const auto port = static_cast<std::uint16_t>(any(random));
    if (!used.insert(port).second) continue;
    asio::io_context context;
    boost::system::error_code error;
    Tcp::acceptor acceptor(context);
    acceptor.open(Tcp::v4());
    acceptor.bind({asio::ip::address_v4::loopback(), port}, error);
    if (!error) return port;
  }
}

}  // namespace

std::set<pid_t> children;
std::mutex children_mutex;

/// Ends the instances when the case itself is ended from outside.
void EndChildren(int) {
  for (const pid_t child : children) ::kill(child, SIGKILL);
  _exit(2);
}

std::int64_t NowMs() {
  return std::chrono::duration_cast<Ms>(Clock::now() - kBegin).count();
}
void SleepMs(std::int64_t ms) { std::this_thread::sleep_for(Ms(ms)); }

bool WaitFor(std::int64_t ms, const std::function<bool()>& condition) {
  const std::int64_t end = NowMs() + ms;
  while (NowMs() < end) {
    if (condition()) return true;
    SleepMs(20);
  }
  return condition();
}

void OpenRecord(const std::string& path) {
  record_file.open(path, std::ios::trunc);
}

void Record(const std::string& line) {
  const std::lock_guard lock(record_mutex);
  char time[32];
  std::snprintf(time, sizeof time, "%8.3f  ",
                static_cast<double>(NowMs()) / 1000);
  record_file << time << line << std::endl;
}

// ---- HTTP ----

HttpServer::HttpServer(Handler handler) : handler_(std::move(handler)) {
  // Bound at once, so that nobody else takes the port; it refuses connections
  // until Start.
  while (acceptor_ == nullptr) {
    port_ = FreePort();
    try {
      Bind();
    } catch (const std::exception&) {
      acceptor_.reset();
    }
  }
}

void HttpServer::Bind() {
  acceptor_ = std::make_unique<Tcp::acceptor>(context_);
  acceptor_->open(Tcp::v4());
  acceptor_->set_option(Tcp::acceptor::reuse_address(true));
  acceptor_->bind({asio::ip::address_v4::loopback(), port_});
}

HttpServer::~HttpServer() { Stop(); }

void HttpServer::Start() {
  stopping_ = false;
  if (acceptor_ == nullptr) Bind();
  acceptor_->listen(1024);
  accept_thread_ = std::thread([this] { Accept(); });
}

void HttpServer::Stop() {
  if (!accept_thread_.joinable()) return;
  stopping_ = true;
  ::shutdown(acceptor_->native_handle(), SHUT_RDWR);
  accept_thread_.join();
  acceptor_.reset();
  {
    const std::lock_guard lock(mutex_);
    for (const auto& socket : sockets_) {
      ::shutdown(socket->native_handle(), SHUT_RDWR);
    }
  }
  while (threads_ > 0) SleepMs(5);
}

void HttpServer::Accept() {
  while (!stopping_) {
    auto socket = std::make_shared<Tcp::socket>(context_);
    boost::system::error_code error;
    acceptor_->accept(*socket, error);
    if (error) {
      if (stopping_) return;
      SleepMs(5);
      continue;
    }
    socket->set_option(Tcp::no_delay(true), error);
    ++threads_;
    {
      const std::lock_guard lock(mutex_);
      sockets_.insert(socket);
    }
    std::thread([this, socket] { Serve(socket); }).detach();
  }
}

void HttpServer::Serve(std::shared_ptr<Tcp::socket> socket) {
  beast::flat_buffer buffer;
  beast::error_code error;
  while (!stopping_) {
    http::request_parser<http::string_body> parser;
    parser.body_limit(16U << 20);
    http::read(*socket, buffer, parser, error);
    if (error) break;
    const auto message = parser.release();
    Call call;
    call.method = std::string(message.method_string());
    std::string target(message.target());
    const std::size_t mark = target.find('?');
    call.path = target.substr(0, mark);
    if (mark != std::string::npos) {
      std::string rest = target.substr(mark + 1);
      while (!rest.empty()) {
        const std::size_t end = rest.find('&');
        const std::string item = rest.substr(0, end);
        const std::size_t equals = item.find('=');
        call.query[item.substr(0, equals)] =
            equals == std::string::npos ? "" : Decode(item.substr(equals + 1));
        rest = end == std::string::npos ? "" : rest.substr(end + 1);
      }
    }
    for (const auto& field : message) {
      std::string name(field.name_string());
      std::transform(name.begin(), name.end(), name.begin(), ::tolower);
      call.headers[name] = std::string(field.value());
    }
    call.body = message.body();
    const Answer answer = handler_(call);
    if (answer.status == 0) {
      // A connection on which a response is lost delivers nothing further.
      char byte = 0;
      while (!error) socket->read_some(asio::buffer(&byte, 1), error);
      break;
    }
    http::response<http::string_body> response;
    response.version(11);
    response.result(static_cast<unsigned>(answer.status));
    response.set(http::field::content_type, "application/json");
    response.body() = answer.body.is_null() ? "" : answer.body.dump();
    response.prepare_payload();
    http::write(*socket, response, error);
    if (error) break;
  }
  {
    const std::lock_guard lock(mutex_);
    sockets_.erase(socket);
  }
  boost::system::error_code ignored;
  socket->close(ignored);
  socket.reset();
  --threads_;
}

std::string ToBase64(const std::string& bytes) {
  static const char* digits =
      "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
  std::string text;
  for (std::size_t i = 0; i < bytes.size(); i += 3) {
    unsigned group = 0;
    for (std::size_t k = 0; k < 3; ++k) {
      group <<= 8;
      if (i + k < bytes.size()) group |= static_cast<unsigned char>(bytes[i + k]);
    }
    for (int k = 3; k >= 0; --k) text += digits[(group >> (6 * k)) & 63];
    if (i + 2 >= bytes.size()) text[text.size() - 1] = '=';
    if (i + 1 >= bytes.size()) text[text.size() - 2] = '=';
  }
  return text;
}

std::string FromBase64(const std::string& text) {
  std::string bytes;
  unsigned group = 0;
  int bits = 0;
  for (const char c : text) {
    int value = -1;
    if (c >= 'A' && c <= 'Z') value = c - 'A';
    if (c >= 'a' && c <= 'z') value = c - 'a' + 26;
    if (c >= '0' && c <= '9') value = c - '0' + 52;
    if (c == '+') value = 62;
    if (c == '/') value = 63;
    if (value < 0) continue;
    group = group << 6 | static_cast<unsigned>(value);
    bits += 6;
    if (bits < 8) continue;
    bits -= 8;
    bytes += static_cast<char>(group >> bits & 255U);
  }
  return bytes;
}

// ---- The platform's store ----

namespace {
constexpr std::int64_t kReadMs = 4;
constexpr std::int64_t kTransactionMs = 5;
constexpr std::size_t kRowBytes = 65536;
constexpr std::size_t kPageRows = 500;
constexpr std::size_t kTransactionEntries = 100;
constexpr std::size_t kTransactionBytes = 1U << 20;
}  // namespace

Store::Store() : server_([this](const Call& call) { return Handle(call); }) {}
Store::~Store() {
  Close();
  server_.Stop();
  for (std::thread& thread : late_) thread.join();
}

void Store::Close() {
  closing_ = true;
  changed_.notify_all();
}

void Store::SetFate(std::function<Fate(const Json&)> fate) {
  const std::lock_guard lock(mutex_);
  fate_ = std::move(fate);
}

void Store::Put(const std::string& table, const std::string& key,
                const Json& value) {
  const std::lock_guard lock(mutex_);
  ++version_;
  rows_[{table, "", key}] = {ToBase64(value.dump()), version_};
  history_.push_back({{table, "", key}, ToBase64(value.dump()), version_});
  changed_.notify_all();
}

void Store::Delete(const std::string& table, const std::string& key) {
  const std::lock_guard lock(mutex_);
  if (rows_.erase({table, "", key}) == 0) return;
  ++version_;
  history_.push_back({{table, "", key}, "", version_, true});
  changed_.notify_all();
}

std::optional<std::string> Store::Get(const std::string& table,
                                      const std::string& part,
                                      const std::string& key) {
  const std::lock_guard lock(mutex_);
  const auto found = rows_.find({table, part, key});
  if (found == rows_.end()) return std::nullopt;
  return FromBase64(found->second.value);
}

Json Store::RowJson(const Key& key, const Row& row) const {
  return {{"table", std::get<0>(key)},
          {"part", std::get<1>(key)},
          {"key", std::get<2>(key)},
          {"value", row.value},
          {"ver", row.version}};
}

Answer Store::Handle(const Call& call) {
  if (call.path == "/jasminespar/rows-tx") return Transact(call);
  if (call.path == "/jasminespar/rows-get") return Read(call);
  if (call.path == "/jasminespar/rows-feed") return Feed(call);
  return {404, nullptr};
}

Answer Store::Transact(const Call& call) {
  if (call.body.size() > kTransactionBytes) {
    ++too_large_;
    return {400, {{"reason", "over 1 MB"}}};
  }
  const Json body = Json::parse(call.body, nullptr, false);
  if (body.is_discarded()) return {400, nullptr};
  std::function<Fate(const Json&)> chooser;
  {
    const std::lock_guard lock(mutex_);
    chooser = fate_;
  }
  const Fate fate = chooser ? chooser(body) : Fate{};
  if (fate.kind == Fate::Kind::kBusy) return {503, nullptr};
  if (fate.kind == Fate::Kind::kLate) {
    const std::lock_guard lock(mutex_);
    late_.emplace_back([this, body, fate] {
      const std::int64_t due = NowMs() + fate.late_ms;
      while (NowMs() < due && !closing_) SleepMs(5);
      if (closing_) return;
      const std::lock_guard inner(mutex_);
      const Answer answer = Apply(body);
      Record("store: late transaction carried out, " +
             std::to_string(answer.status));
    });
    return {0, nullptr};
  }
  SleepMs(kTransactionMs);
  const std::lock_guard lock(mutex_);
  Answer answer = Apply(body);
  if (fate.kind == Fate::Kind::kLostDone) return {0, nullptr};
  return answer;
}

Answer Store::Apply(const Json& body) {
  const Json empty = Json::array();
  const Json& conditions =
      body.contains("expected_rev") ? body["expected_rev"] : empty;
  const Json& upserts = body.contains("upserts") ? body["upserts"] : empty;
  const Json& deletes = body.contains("deletes") ? body["deletes"] : empty;
  if (conditions.size() + upserts.size() + deletes.size() >
      kTransactionEntries) {
    ++too_large_;
    return {400, {{"reason", "more than 100 entries"}}};
  }
  const auto key_of = [](const Json& entry) {
    return Key{entry.at("table"), entry.value("part", ""), entry.at("key")};
  };
  std::set<std::string> parts;
  for (const Json* list : {&conditions, &upserts, &deletes}) {
    for (const Json& entry : *list) parts.insert(entry.value("part", ""));
  }
  if (parts.size() > 1) return {400, {{"reason", "more than one part"}}};
  for (const Json& entry : upserts) {
    const std::string table = entry.at("table");
    if (table == "op" || table == "servers") return {403, nullptr};
    if (FromBase64(entry.at("value")).size() > kRowBytes) {
      ++too_large_;
      return {400, {{"reason", "a value over row_bytes"}}};
    }
  }
  bool holds = true;
  Json current = Json::array();
  for (const Json& entry : conditions) {
    const auto found = rows_.find(key_of(entry));
    const std::uint64_t version =
        found == rows_.end() ? 0 : found->second.version;
    holds = holds && version == entry.at("ver").get<std::uint64_t>();
    if (found != rows_.end()) {
      current.push_back(RowJson(found->first, found->second));
    }
  }
  if (!holds) {
    return {412, {{"rows", current}, {"ver", version_}, {"now_ms", NowMs()}}};
  }
  ++version_;
  for (const Json& entry : upserts) {
    rows_[key_of(entry)] = {entry.at("value"), version_};
    history_.push_back({key_of(entry), entry.at("value"), version_});
  }
  for (const Json& entry : deletes) {
    if (rows_.erase(key_of(entry)) == 0) continue;
    history_.push_back({key_of(entry), "", version_, true});
  }
  changed_.notify_all();
  return {200, {{"ver", version_}, {"now_ms", NowMs()}}};
}

Answer Store::Read(const Call& call) {
  SleepMs(kReadMs);
  const auto text = [&](const char* name) {
    const auto found = call.query.find(name);
    return found == call.query.end() ? std::string() : found->second;
  };
  const std::string table = text("table");
  const std::string part = text("part");
  const std::string to = text("to");
  std::size_t limit = kPageRows;
  if (!text("limit").empty()) {
    limit = std::min<std::size_t>(limit, std::stoul(text("limit")));
  }
  const std::lock_guard lock(mutex_);
  Json rows = Json::array();
  bool more = false;
  auto next = rows_.lower_bound({table, part, text("from")});
  for (; next != rows_.end(); ++next) {
    if (std::get<0>(next->first) != table || std::get<1>(next->first) != part)
      break;
    if (!to.empty() && std::get<2>(next->first) >= to) break;
    if (rows.size() == limit) {
      more = true;
      break;
    }
    rows.push_back(RowJson(next->first, next->second));
  }
  return {200,
          {{"rows", rows},
           {"has_more", more},
           {"ver", version_},
           {"now_ms", NowMs()}}};
}

Answer Store::Feed(const Call& call) {
  SleepMs(kReadMs);
  const std::string table = call.query.at("table");
  const std::uint64_t after = std::stoull(call.query.at("after"));
  const std::int64_t wait =
      call.query.contains("wait_ms") ? std::stoll(call.query.at("wait_ms")) : 0;
  const auto deadline = Clock::now() + Ms(wait);
  std::unique_lock lock(mutex_);
  while (true) {
    Json rows = Json::array();
    auto next = std::upper_bound(
        history_.begin(), history_.end(), after,
        [](std::uint64_t a, const Change& change) { return a < change.version; });
    for (; next != history_.end(); ++next) {
      if (std::get<0>(next->key) != table) continue;
      Json row = RowJson(next->key, {next->value, next->version});
      if (next->deleted) {
        row.erase("value");
        row["deleted"] = true;
      }
      rows.push_back(std::move(row));
    }
    if (!rows.empty() || closing_ || Clock::now() >= deadline) {
      return {200, {{"rows", rows}, {"ver", version_}, {"now_ms", NowMs()}}};
    }
    changed_.wait_until(lock, deadline);
  }
}

// ---- Runners ----

std::size_t Ledger::Begin(Run run) {
  const std::lock_guard lock(mutex_);
  runs_.push_back(std::move(run));
  return runs_.size() - 1;
}
void Ledger::End(std::size_t index, const std::string& how,
                 std::uint64_t number) {
  const std::lock_guard lock(mutex_);
  runs_[index].ended = NowMs();
  runs_[index].how = how;
  runs_[index].number = number;
}
void Ledger::Note(std::size_t index, std::int64_t lapsed_at) {
  const std::lock_guard lock(mutex_);
  Run& run = runs_[index];
  if (run.noted < 0 && lapsed_at < run.ended) run.noted = NowMs();
}
std::vector<Run> Ledger::All() {
  const std::lock_guard lock(mutex_);
  return runs_;
}
std::vector<Run> Ledger::OfJob(const std::string& job) {
  std::vector<Run> found;
  for (Run& run : All()) {
    if (run.task.starts_with(job + ".")) found.push_back(std::move(run));
  }
  return found;
}

namespace {

constexpr std::int64_t kHoldMaxMs = 10000;
constexpr std::int64_t kStopTakesMs = 100;
constexpr std::size_t kEndsInAnswer = 500;

std::int64_t NumberIn(const std::string& spec, const std::string& name,
                      std::int64_t otherwise) {
  const std::size_t at = spec.find(name + "=");
  if (at == std::string::npos) return otherwise;
  return std::stoll(spec.substr(at + name.size() + 1));
}

}  // namespace

Worker::Worker(Store& store, Ledger& ledger, WorkerOptions options)
    : store_(store),
      ledger_(ledger),
      options_(std::move(options)),
      server_([this](const Call& call) { return Handle(call); }) {
  ticker_ = std::thread([this] { Tick(); });
}

Worker::~Worker() {
  closing_ = true;
  changed_.notify_all();
  ticker_.join();
  server_.Stop();
}

void Worker::Start() {
  {
    const std::lock_guard lock(mutex_);
    up_ = true;
    draining_ = false;
    born_at_ = NowMs();
    born_unix_ = static_cast<std::uint64_t>(
        std::chrono::duration_cast<Ms>(
            std::chrono::system_clock::now().time_since_epoch())
            .count());
    fence_ = 0;
    last_end_ = 0;
    lease_until_ = 0;
    ends_.clear();
    barred_.clear();
  }
  server_.Start();
  Publish();
  Record("runner " + id() + " is up");
}

void Worker::Publish() {
  std::string state;
  std::uint64_t born = 0;
  {
    const std::lock_guard lock(mutex_);
    state = draining_ ? "draining" : "ready";
    born = born_unix_;
  }
  store_.Put("servers", id(),
             {{"service", options_.service},
              {"addr", "127.0.0.1:" + std::to_string(server_.port())},
              {"zone", options_.zone},
              {"version", "v1"},
              {"slots", 8},
              {"state", state},
              {"cold_remaining_ms", 0},
              {"capacity",
               {{"cpu", options_.cpu},
                {"mem_mb", options_.mem_mb},
                {"gpu", options_.gpu}}},
              {"labels", {"a", options_.rack}},
              {"born", born},
              {"seq", 1}});
}

void Worker::Crash() {
  Record("runner " + id() + " crashes");
  {
    const std::lock_guard lock(mutex_);
    up_ = false;
    for (auto& [task, active] : active_) ledger_.End(active.index, "gone", 0);
    active_.clear();
    changed_.notify_all();
  }
  server_.Stop();
}

void Worker::BeginDrain() {
  {
    const std::lock_guard lock(mutex_);
    draining_ = true;
  }
  Publish();
  Record("runner " + id() + " reports draining");
}

void Worker::Leave() {
  Crash();
  store_.Delete("servers", id());
  Record("runner " + id() + " has left, its entry is removed");
}

void Worker::SetGrey(bool grey) {
  Record("runner " + id() + (grey ? " fails all that it starts from now on"
                                  : " is sound again"));
  const std::lock_guard lock(mutex_);
  grey_ = grey;
}

std::size_t Worker::running() {
  const std::lock_guard lock(mutex_);
  return active_.size();
}
std::size_t Worker::unnoted_ends() {
  const std::lock_guard lock(mutex_);
  return ends_.size();
}

Json Worker::Base() { return {{"clock_ms", clock()}, {"born", born_unix_}}; }

bool Worker::FenceOk(const Json& body) {
  const std::uint64_t fence = body.value("fence", std::uint64_t{0});
  if (fence < fence_) return false;
  fence_ = fence;
  return true;
}

void Worker::Renew(const Json& body) {
  if (!body.contains("until_ms")) return;
  const std::int64_t until = std::min<std::int64_t>(
      body["until_ms"].get<std::int64_t>(), clock() + kHoldMaxMs);
  lease_until_ = std::max(lease_until_, until);
}

Answer Worker::Handle(const Call& call) {
  if (call.path == "/healthz") return {200, nullptr};
  const Json body = Json::parse(call.body, nullptr, false);
  if (body.is_discarded()) return {400, nullptr};
  std::unique_lock lock(mutex_);
  if (!up_) return {0, nullptr};
  const auto expected = call.headers.find("expect-instance");
  if (expected != call.headers.end() && expected->second != id()) {
    return {421, nullptr};
  }
  if (!FenceOk(body)) {
    Json answer = Base();
    answer["reason"] = "fence";
    return {409, answer};
  }
  if (call.path == "/jasminespar/run-start") return StartTask(body);
  if (call.path == "/jasminespar/run-stop") return StopTask(body);
  if (call.path == "/jasminespar/hold") return Hold(body, lock);
  return {404, nullptr};
}

Answer Worker::StartTask(const Json& body) {
  const std::string task = body.at("task");
  const std::uint64_t run = body.at("run");
  const std::string spec = body.value("spec", "");
  Json answer = Base();
  const auto refuse = [&](const char* reason) {
    answer["reason"] = reason;
    return Answer{409, answer};
  };
  if (body.contains("until_ms") &&
      body["until_ms"].get<std::int64_t>() <= clock()) {
    return refuse("late");
  }
  Renew(body);
  const auto barred = barred_.find(task);
  if (barred != barred_.end() && run <= barred->second) return refuse("old");
  const auto found = active_.find(task);
  if (found != active_.end()) {
    if (found->second.run == run) return {200, answer};
    return refuse("old");  // Another run of the task is here.
  }
  Active active;
  active.run = run;
  active.work_ms = NumberIn(spec, "ms", 1000);
  active.began = NowMs();
  active.fails = failures_[task] < NumberIn(spec, "fail", 0);
  if (grey_) {
    active.fails = true;
    active.work_ms = 100;
  }
  active.index = ledger_.Begin(
      {task, run, id(), fence_, active.began, -1, "", 0, -1});
  active_.emplace(task, active);
  return {200, answer};
}

Answer Worker::StopTask(const Json& body) {
  const std::string task = body.at("task");
  const std::uint64_t run = body.at("run");
  barred_[task] = std::max(barred_[task], run);
  const auto found = active_.find(task);
  if (found != active_.end() && found->second.run <= run &&
      found->second.stop_at < 0) {
    found->second.stop_at = NowMs() + kStopTakesMs;
  }
  return {200, Base()};
}

Answer Worker::Hold(const Json& body, std::unique_lock<std::mutex>& lock) {
  Renew(body);
  const std::uint64_t seen = body.value("last_seen", std::uint64_t{0});
  while (!ends_.empty() && ends_.front().number <= seen) {
    ledger_.Note(ends_.front().index, lapsed_at_);
    ends_.pop_front();
  }
  const auto deadline =
      Clock::now() + Ms(body.value("wait_ms", std::int64_t{0}));
  while (ends_.empty() && up_ && !closing_ && Clock::now() < deadline) {
    changed_.wait_until(lock, deadline);
  }
  if (!up_) return {0, nullptr};
  Json answer = Base();
  Json running = Json::array();
  for (const auto& [task, active] : active_) {
    const std::int64_t worked = NowMs() - active.began;
    running.push_back({task, active.run, "",
                       std::min<std::int64_t>(99, 100 * worked /
                                                      (active.work_ms + 1))});
  }
  Json finished = Json::array();
  for (const End& end : ends_) {
    if (finished.size() == kEndsInAnswer) break;
    finished.push_back({end.number, end.task, end.run, end.how, ""});
  }
  answer["running_count"] = std::move(running);
  answer["finished"] = std::move(finished);
  if (draining_) answer["drain_remaining_ms"] = 1000;
  return {200, answer};
}

void Worker::EndRun(const std::string& task, const Active& active,
                    const std::string& how) {
  ends_.push_back({++last_end_, task, active.run, how, active.index});
  barred_[task] = std::max(barred_[task], active.run);
  if (how == "failed") ++failures_[task];
  ledger_.End(active.index, how, last_end_);
  changed_.notify_all();
}

void Worker::Tick() {
  while (!closing_) {
    SleepMs(5);
    const std::lock_guard lock(mutex_);
    if (!up_) continue;
    const std::int64_t now = NowMs();
    const bool held = clock() <= lease_until_;
    const bool lapsed = !active_.empty() && !held;
    if (lease_held_ && !held) lapsed_at_ = now;
    lease_held_ = held;
    for (auto at = active_.begin(); at != active_.end();) {
      const Active& active = at->second;
      std::string how;
      if (lapsed) {
        how = "lapsed";
      } else if (active.stop_at >= 0 && now >= active.stop_at) {
        how = "stopped";
      } else if (now - active.began >= active.work_ms) {
        how = active.fails ? "failed" : "done";
      }
      if (how.empty()) {
        ++at;
        continue;
      }
      EndRun(at->first, active, how);
      at = active_.erase(at);
    }
  }
}

// ---- Instances ----

Instance::Instance(std::string id, std::string folder, std::uint16_t store_port)
    : id_(std::move(id)), folder_(std::move(folder)), store_port_(store_port) {
  front_ = FreePort();
  ready_ = FreePort();
  metrics_ = FreePort();
  peers_ = FreePort();
}

Instance::~Instance() {
  if (pid_ < 0) return;
  ::kill(pid_, SIGKILL);
  Reap();
}

void Instance::Start() {
  const std::string file = folder_ + "/" + id_ + ".ini";
  std::ofstream settings(file, std::ios::trunc);
  const auto address = [](std::uint16_t port) {
    return "127.0.0.1:" + std::to_string(port);
  };
  // deploy/instance.ini.template with the values of a small deployment.
  settings << "[instance]\nid = " << id_ << "\ndata_centre = zone-a\n"
           << "memory = 260MiB\n\n[listen]\ncallers = " << address(front_)
           << "\nreadiness = " << address(ready_)
           << "\nmetrics = " << address(metrics_)
           << "\npeers = " << address(peers_)
           << "\n\n[table]\naddress = " << address(store_port_)
           << "\n\n[workers]\nmax_lease = 10000ms\nresume_delay = 250ms\n"
           << "stop_limit = 900ms\n\n[jobs]\nstatus_retention = 120s\n"
           << "reclaim_within = 3400ms\n\n[process]\nshutdown_grace = 6s\n";
  settings.close();
  setenv("JASMINESPAR_BOOT", file.c_str(), 1);
  const std::string program = "target/apps/jasmined";
  std::vector<std::string> words{program, "--serve", "jobs"};
  std::vector<char*> arguments;
  for (std::string& word : words) arguments.push_back(word.data());
  arguments.push_back(nullptr);
  posix_spawn_file_actions_t actions;
  posix_spawn_file_actions_init(&actions);
  const std::string log = folder_ + "/" + id_ + ".log";
  posix_spawn_file_actions_addopen(&actions, 1, log.c_str(),
                                   O_WRONLY | O_CREAT | O_APPEND, 0644);
  posix_spawn_file_actions_adddup2(&actions, 1, 2);
  const int error = posix_spawn(&pid_, program.c_str(), &actions, nullptr,
                                arguments.data(), environ);
  posix_spawn_file_actions_destroy(&actions);
  if (error != 0) {
    pid_ = -1;
    throw std::runtime_error("cannot start " + program);
  }
  {
    const std::lock_guard lock(children_mutex);
    children.insert(pid_);
  }
  Record("instance " + id_ + " is started");
}

void Instance::Signal(int signal) {
  Record("instance " + id_ + " gets " + strsignal(signal));
  if (pid_ > 0) ::kill(pid_, signal);
}

void Instance::Reap() {
  if (pid_ < 0) return;
  ::waitpid(pid_, nullptr, 0);
  const std::lock_guard lock(children_mutex);
  children.erase(pid_);
  pid_ = -1;
}

namespace {

Reply Exchange(std::uint16_t port, const std::string& method,
               const std::string& path, const std::string& body,
               std::int64_t wait_ms, bool with_key) {
  Reply reply;
  asio::io_context context;
  beast::tcp_stream stream(context);
  http::request<http::string_body> request;
  request.version(11);
  request.method_string(method);
  request.target(path);
  request.set(http::field::host, kHost);
  request.set(http::field::content_type, "application/json");
  if (with_key) request.set("Authorization", std::string("Token ") + kKey);
  if (with_key) request.set("Deadline-Ms", "3000");
  request.body() = body;
  request.prepare_payload();
  beast::flat_buffer buffer;
  http::response_parser<http::string_body> parser;
  stream.expires_after(Ms(wait_ms));
  stream.async_connect(
      {asio::ip::address_v4::loopback(), port}, [&](beast::error_code error) {
        if (error) return;
        http::async_write(
            stream, request, [&](beast::error_code failed, std::size_t) {
              if (failed) return;
              http::async_read(
                  stream, buffer, parser,
                  [&](beast::error_code bad, std::size_t) {
                    if (bad) return;
                    reply.status = static_cast<int>(parser.get().result_int());
                    reply.body = parser.get().body();
                  });
            });
      });
  context.run();
  return reply;
}

}  // namespace

bool Instance::Ready() {
  return Exchange(ready_, "GET", "/jasminespar/readyz", "", 500, false)
             .status == 200;
}

Reply Instance::Send(const std::string& method, const std::string& path,
                     const std::string& body, std::int64_t wait_ms) {
  return Exchange(front_, method, path, body, wait_ms, true);
}

// ---- The deployment ----

Site::Site(std::string folder, const SiteOptions& options)
    : folder_(std::move(folder)) {
  store.Start();
  for (int i = 0; i < options.workers; ++i) {
    WorkerOptions worker = options.worker;
    worker.id = "i-" + std::to_string(70001 + i);
    worker.rack = "r1-" + std::to_string(1 + i / 6);
    workers.push_back(std::make_unique<Worker>(store, ledger, worker));
  }
  for (int i = 0; i < options.instances; ++i) {
    instances.push_back(std::make_unique<Instance>(
        "edge-zone-a-" + std::to_string(i + 1), folder_, store.port()));
  }
}

Site::~Site() {
  for (auto& instance : instances) {
    // A stopped process takes a kill too.
    instance.reset();
  }
  store.Close();
  workers.clear();
}

void Site::Configure(std::uint64_t version, const std::vector<Route>& routes) {
  Json list = Json::array();
  std::string names;
  for (const Route& route : routes) {
    names += " " + route.prefix;
    list.push_back({{"name", route.name},
                    {"host", kHost},
                    {"prefix", route.prefix},
                    {"kind", "non_idempotent"},
                    {"timeout_ms", 3000},
                    {"target_runtime_ms", 3000},
                    {"priority", route.priority},
                    {"service", "svc1"},
                    {"max_attempts", route.max_attempts},
                    {"slack_factor", 3.0},
                    {"public", false}});
  }
  store.Put("op", "config",
            {{"version", version},
             {"routes", list},
             {"services",
              {{{"name", "svc1"},
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
              {{{"name", "tenant1"},
                {"api_keys", {kKey}},
                {"priority", 1},
                {"guaranteed", {{"gpu", 8}}}}}}});
  Record("configuration " + std::to_string(version) + " is acknowledged:" +
         names);
}

bool Site::Start() {
  for (auto& worker : workers) worker->Start();
  for (auto& instance : instances) instance->Start();
  const bool ready = WaitFor(20000, [this] {
    return Owner() != nullptr &&
           std::all_of(instances.begin(), instances.end(),
                       [](const auto& instance) { return instance->Ready(); });
  });
  SleepMs(4000);  // In touch, and every runner known.
  Record(ready ? "all instances are ready, the owner is " + Owner()->id()
               : "not all instances are ready");
  return ready;
}

Instance* Site::Owner() {
  const auto row = store.Get("owner", "c0", "owner");
  if (!row) return nullptr;
  for (auto& instance : instances) {
    if (row->find(instance->id()) != std::string::npos) return instance.get();
  }
  return nullptr;
}

Instance* Site::Other(const Instance* but) {
  const Instance* owner = Owner();
  for (auto& instance : instances) {
    if (instance.get() != owner && instance.get() != but) return instance.get();
  }
  return nullptr;
}

Reply Site::Ask(Instance& instance, const std::string& method,
                const std::string& path, const std::string& body,
                std::int64_t wait_ms) {
  Record("client: " + method + " " + path + " to " + instance.id() +
         (body.empty() ? "" : " " + body.substr(0, 300)));
  Reply reply = instance.Send(method, path, body, wait_ms);
  Record("client: " + method + " " + path + " gets " +
         (reply.status == 0 ? std::string("no answer")
                            : std::to_string(reply.status) + " " + reply.body));
  return reply;
}

void Site::RecordRuns() {
  Record("runs, as the runners saw them: task, run, runner, fence, started, "
         "ended, how, number of the end, noted");
  for (const Run& run : ledger.All()) {
    Record("  " + run.task + " " + std::to_string(run.run) + " " + run.worker +
           " " + std::to_string(run.fence) + " " + std::to_string(run.started) +
           " " + std::to_string(run.ended) + " " +
           (run.how.empty() ? "running" : run.how) + " " +
           std::to_string(run.number) + " " + std::to_string(run.noted));
  }
}

bool Trouble() {
  const char* value = std::getenv("TROUBLE");
  return value == nullptr || std::string(value) != "0";
}

int CountTwice(Ledger& ledger) {
  std::map<std::string, std::vector<Run>> tasks;
  for (Run& run : ledger.All()) tasks[run.task].push_back(std::move(run));
  int broken = 0;
  for (auto& [task, runs] : tasks) {
    bool broke = false;
    for (const Run& done : runs) {
      for (const Run& other : runs) {
        if (&done == &other) continue;
        const bool after_done = done.how == "done" && done.noted >= 0 &&
                                other.started > done.ended;
        const bool together =
            other.started >= done.started &&
            (done.ended < 0 || other.started < done.ended);
        if (!after_done && !together) continue;
        if (!broke && broken < 20) {
          Record(std::string("TWICE: ") + task + ": run " +
                 std::to_string(done.run) + " on " + done.worker +
                 (after_done ? " ended done at " + std::to_string(done.ended) +
                                   ", noted at " + std::to_string(done.noted)
                             : " still ran") +
                 "; run " + std::to_string(other.run) + " started on " +
                 other.worker + " at " + std::to_string(other.started));
        }
        broke = true;
      }
    }
    if (broke) ++broken;
  }
  return broken;
}

}  // namespace review
