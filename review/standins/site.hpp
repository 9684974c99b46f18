// Stand-ins of a small deployment for the cases of the review: the platform's
// store, runners, clients, and the instances as separate processes. All are
// written from the users' pages (PROTOCOL.md, DEPLOY.md) only.
#pragma once

#include <atomic>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <deque>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <mutex>
#include <nlohmann/json.hpp>
#include <optional>
#include <set>
#include <string>
#include <thread>
#include <tuple>
#include <vector>

namespace review {

using Json = nlohmann::json;
using Clock = std::chrono::steady_clock;
using Ms = std::chrono::milliseconds;
namespace http = boost::beast::http;

/// @return milliseconds since the start of the case.
std::int64_t NowMs();
void SleepMs(std::int64_t ms);
/// @return whether the condition held before the time ran out.
bool WaitFor(std::int64_t ms, const std::function<bool()>& condition);

/// Writes one line, with the time, to record.txt.
void Record(const std::string& line);
void OpenRecord(const std::string& path);

struct Answer {
  int status = 0;  // 0: the connection stays silent.
  Json body;
};

struct Call {
  std::string method;
  std::string path;
  std::map<std::string, std::string> query;
  std::map<std::string, std::string> headers;  // Names in lower case.
  std::string body;
};

/// A thread for each connection.
class HttpServer {
 public:
  using Handler = std::function<Answer(const Call&)>;
  explicit HttpServer(Handler handler);
  ~HttpServer();
  void Start();  // Again on the same port after Stop.
  /// Closes the listening socket and resets all connections.
  void Stop();
  [[nodiscard]] std::uint16_t port() const { return port_; }

 private:
  void Bind();
  void Accept();
  void Serve(std::shared_ptr<boost::asio::ip::tcp::socket> socket);
  Handler handler_;
  boost::asio::io_context context_;
  std::uint16_t port_ = 0;
  std::unique_ptr<boost::asio::ip::tcp::acceptor> acceptor_;
  std::thread accept_thread_;
  std::mutex mutex_;
  std::set<std::shared_ptr<boost::asio::ip::tcp::socket>> sockets_;
  std::atomic<int> threads_{0};
  std::atomic<bool> stopping_{false};
};

/// The platform's metadata store, of form "table".
class Store {
 public:
  struct Fate {
    enum class Kind { kNormal, kLostDone, kLate, kBusy } kind = Kind::kNormal;
    std::int64_t late_ms = 0;
  };
  struct Row {
    std::string value;  // Base64.
    std::uint64_t version = 0;
  };
  using Key = std::tuple<std::string, std::string, std::string>;

  Store();
  ~Store();
  void Start() { server_.Start(); }
  /// Ends all waits.
  void Close();
  [[nodiscard]] std::uint16_t port() const { return server_.port(); }

  /// What becomes of a transaction; the default is kNormal.
  void SetFate(std::function<Fate(const Json& transaction)> fate);
  void Put(const std::string& table, const std::string& key, const Json& value);
  void Delete(const std::string& table, const std::string& key);
  [[nodiscard]] std::optional<std::string> Get(const std::string& table,
                                               const std::string& part,
                                               const std::string& key);
  [[nodiscard]] std::uint64_t refused_as_too_large() const {
    return too_large_;
  }

 private:
  struct Change {
    Key key;
    std::string value;
    std::uint64_t version = 0;
    bool deleted = false;
  };
  Answer Handle(const Call& call);
  Answer Transact(const Call& call);
  Answer Apply(const Json& body);  // Caller holds the mutex.
  Answer Read(const Call& call);
  Answer Feed(const Call& call);
  Json RowJson(const Key& key, const Row& row) const;

  std::mutex mutex_;
  std::condition_variable changed_;
  std::map<Key, Row> rows_;
  std::vector<Change> history_;
  std::uint64_t version_ = 1;
  std::function<Fate(const Json&)> fate_;
  std::atomic<std::uint64_t> too_large_{0};
  std::atomic<bool> closing_{false};
  std::vector<std::thread> late_;
  HttpServer server_;
};

std::string ToBase64(const std::string& bytes);
std::string FromBase64(const std::string& text);

/// One run of a task, as its runner saw it.
struct Run {
  std::string task;
  std::uint64_t run = 0;
  std::string worker;
  std::uint64_t fence = 0;
  std::int64_t started = 0;
  std::int64_t ended = -1;  // -1: still running.
  std::string how;
  std::uint64_t number = 0;     // Of its end at the runner.
  /// When last_seen reached the end; -1: not yet, or the runner's lease had
  /// lapsed between the two.
  std::int64_t noted = -1;
};

/// All runs of all runners. Thread-safe.
class Ledger {
 public:
  std::size_t Begin(Run run);
  void End(std::size_t index, const std::string& how, std::uint64_t number);
  /// @param lapsed_at when the runner's lease last lapsed.
  void Note(std::size_t index, std::int64_t lapsed_at);
  [[nodiscard]] std::vector<Run> All();
  [[nodiscard]] std::vector<Run> OfJob(const std::string& job);

 private:
  std::mutex mutex_;
  std::vector<Run> runs_;
};

struct WorkerOptions {
  std::string id;
  std::string service = "svc1";
  std::string zone = "zone-a";
  std::string rack = "r1-1";
  int cpu = 128000;
  int mem_mb = 524288;
  int gpu = 8;
};

/// A runner. The spec of a job says what its tasks do: "ms=N" is the work of a
/// task; "fail=N" lets the first N runs of each task here end `failed`.
class Worker {
 public:
  Worker(Store& store, Ledger& ledger, WorkerOptions options);
  ~Worker();
  void Start();     ///< A new incarnation, and its entry in the store.
  void Crash();     ///< Everything is lost; the entry stays.
  /// Reports `draining` to the store and in its answers.
  void BeginDrain();
  /// Ends all that runs, leaves, and its entry is removed.
  void Leave();
  /// While grey, what it starts ends `failed` soon; its health is good.
  void SetGrey(bool grey);
  [[nodiscard]] const std::string& id() const { return options_.id; }
  [[nodiscard]] std::size_t running();
  [[nodiscard]] std::size_t unnoted_ends();

 private:
  struct Active {
    std::uint64_t run = 0;
    std::int64_t work_ms = 0;
    std::int64_t began = 0;
    bool fails = false;
    std::int64_t stop_at = -1;
    std::size_t index = 0;
  };
  struct End {
    std::uint64_t number = 0;
    std::string task;
    std::uint64_t run = 0;
    std::string how;
    std::size_t index = 0;
  };
  Answer Handle(const Call& call);
  Answer StartTask(const Json& body);
  Answer StopTask(const Json& body);
  Answer Hold(const Json& body, std::unique_lock<std::mutex>& lock);
  bool FenceOk(const Json& body);
  void Renew(const Json& body);
  Json Base();
  void Publish();
  void Tick();
  void EndRun(const std::string& task, const Active& active,
              const std::string& how);
  std::int64_t clock() const { return NowMs() - born_at_ + 1; }

  Store& store_;
  Ledger& ledger_;
  WorkerOptions options_;
  std::mutex mutex_;
  std::condition_variable changed_;
  std::map<std::string, Active> active_;
  std::deque<End> ends_;
  std::map<std::string, std::uint64_t> barred_;  // Task -> highest run ended.
  std::map<std::string, int> failures_;
  std::uint64_t last_end_ = 0;
  std::uint64_t fence_ = 0;
  std::int64_t lease_until_ = 0;
  bool lease_held_ = false;
  std::int64_t lapsed_at_ = -1;
  std::int64_t born_at_ = 0;
  std::uint64_t born_unix_ = 0;
  bool up_ = false;
  bool draining_ = false;
  bool grey_ = false;
  std::atomic<bool> closing_{false};
  std::thread ticker_;
  HttpServer server_;
};

struct Reply {
  int status = 0;  // 0: no answer.
  std::string body;
};

/// An instance as a process of its own.
class Instance {
 public:
  Instance(std::string id, std::string folder, std::uint16_t store_port);
  ~Instance();
  void Start();
  void Signal(int signal);
  /// Waits for the process after a signal that ends it.
  void Reap();
  [[nodiscard]] bool Ready();
  [[nodiscard]] const std::string& id() const { return id_; }
  /// A client's request on a connection of its own.
  [[nodiscard]] Reply Send(const std::string& method, const std::string& path,
                           const std::string& body = {},
                           std::int64_t wait_ms = 3000);

 private:
  std::string id_;
  std::string folder_;
  std::uint16_t store_port_;
  std::uint16_t front_ = 0, ready_ = 0, metrics_ = 0, peers_ = 0;
  pid_t pid_ = -1;
};

struct SiteOptions {
  int instances = 3;
  int workers = 4;
  WorkerOptions worker;
};

/// A route of the configuration.
struct Route {
  std::string name;
  std::string prefix;
  int priority = 1;
  int max_attempts = 2;
};

class Site {
 public:
  Site(std::string folder, const SiteOptions& options);
  ~Site();
  void Configure(std::uint64_t version, const std::vector<Route>& routes);
  /// Starts all; @return whether all instances are ready and one is the owner.
  [[nodiscard]] bool Start();
  /// @return the instance named in the owner row; null: none.
  [[nodiscard]] Instance* Owner();
  /// @return some instance that is not the owner.
  [[nodiscard]] Instance* Other(const Instance* but = nullptr);
  /// Sends a request at an instance, and records it and the answer.
  Reply Ask(Instance& instance, const std::string& method,
            const std::string& path, const std::string& body = {},
            std::int64_t wait_ms = 3000);
  void RecordRuns();

  Store store;
  Ledger ledger;
  std::vector<std::unique_ptr<Worker>> workers;
  std::vector<std::unique_ptr<Instance>> instances;
  bool answered_all = true;

 private:
  std::string folder_;
};

/// Handler of signals that end the case: ends the instances first.
void EndChildren(int signal);

/// @return whether the disruption is to happen (TROUBLE is not 0).
bool Trouble();

/// Rule TWICE for all tasks; records each break.
/// @return the number of tasks that broke it.
int CountTwice(Ledger& ledger);

constexpr const char* kHost = "jobs.example";
constexpr const char* kKey = "k3y0fth3t3nant000001";

}  // namespace review
