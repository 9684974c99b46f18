// Stand-ins for the users' platform, its runners and its clients, after the
// pages SYSTEM.md, PROTOCOL.md and DEPLOY.md, all in one process on 127.0.0.1.
// The instances under test are separate processes, started with the command of
// the deploy file. One thread serves each connection.

#ifndef REVIEW_STANDINS_2_WORLD_HPP_
#define REVIEW_STANDINS_2_WORLD_HPP_

#include <sys/types.h>

#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <nlohmann/json.hpp>
#include <optional>
#include <set>
#include <string>
#include <thread>
#include <vector>

namespace review {

using Json = nlohmann::json;
using Clock = std::chrono::steady_clock;

/// Writes a line with the time since the start to record.txt.
void OpenRecord(const std::string& path);
void Record(const std::string& line);
/// Milliseconds since the record was opened.
std::int64_t NowMs();
void SleepMs(std::int64_t ms);

struct Request {
  std::string method;
  std::string path;  ///< Without the query.
  std::map<std::string, std::string> query;
  std::map<std::string, std::string> headers;  ///< Names in lower case.
  std::string body;
};

struct Response {
  int status = 200;
  std::string body;
  std::int64_t hold_back_ms = 0;  ///< Time on the way to the caller.
  bool lose = false;              ///< The connection ends without an answer.
  bool closes = false;            ///< The connection ends after the answer.
};

/// An HTTP/1.1 server on a free port of 127.0.0.1.
class Server {
 public:
  using Handler = std::function<Response(const Request&)>;
  explicit Server(Handler handler, int port = 0);
  ~Server();
  int port() const { return port_; }
  /// Closes the port and ends all connections, as a crash does; with `silent`
  /// these stay open and are never answered, as when a machine loses power.
  void Crash(bool silent = false);

 private:
  void Accept();
  void Serve(int socket);
  Handler handler_;
  int listener_ = -1;
  int port_ = 0;
  bool stopped_ = false;
  bool silent_ = false;
  std::mutex mutex_;
  std::set<int> sockets_;
  std::thread thread_;
};

/// One request on a connection of its own. Status 0: no answer.
Response Call(int port, const std::string& method, const std::string& path,
              const std::string& body,
              const std::map<std::string, std::string>& headers,
              std::int64_t timeout_ms);

/// The platform's store, in the form of tables.
class Store {
 public:
  Store();
  int port() const { return server_->port(); }
  /// Writes or deletes a row as the operator or a runner does.
  void Put(const std::string& table, const std::string& key, const Json& value);
  void Delete(const std::string& table, const std::string& key);
  /// Called before each request is handled, without the lock. A response that
  /// it returns is sent instead.
  std::function<std::optional<Response>(const Request&)> before;
  /// Called with each answer that is about to be sent.
  std::function<void(const Request&, Response&)> after;
  void ForgetHistory();
  std::size_t RowsOf(const std::string& table);

 private:
  struct Row {
    std::string table, part, key, value;
    std::uint64_t version = 0;
    bool deleted = false;
  };
  using Key = std::tuple<std::string, std::string, std::string>;
  Response Handle(const Request& request);
  Response Transact(const Json& body);
  Response Get(const Request& request);
  Response Feed(const Request& request);
  void Apply(Row row);
  static Json ToJson(const Row& row);
  std::mutex mutex_;
  std::condition_variable changed_;
  std::map<Key, Row> rows_;
  std::vector<Row> history_;
  std::uint64_t version_ = 1;
  std::uint64_t history_from_ = 0;
  std::unique_ptr<Server> server_;
};

/// What the runners saw, over all of them.
struct RunSeen {
  std::string task, runner, how;  ///< `how` is empty while it runs.
  std::uint64_t run = 0;
  std::int64_t from_ms = 0, to_ms = -1;
  bool noted = false;  ///< `last_seen` has reached the end.
};

class Runner;

/// All runners, and the record of their runs.
class Runners {
 public:
  std::mutex mutex;
  std::condition_variable changed;
  std::vector<RunSeen> seen;
  /// Time that a task works, in ms. By default its estimate is not known here,
  /// so scenarios set it by job.
  std::function<std::int64_t(const std::string& task, std::uint64_t run)> work_ms;
  /// How a run ends that has worked its time; "done" by default.
  std::function<std::string(const std::string& task, std::uint64_t run)> ending;
  std::int64_t RunningNow(const std::string& job);  ///< Takes the lock.
};

/// One runner; `Crash` and `Begin` make another life of the same id.
class Runner {
 public:
  Runner(Runners& all, Store& store, std::string id, std::string service,
         std::string kind, std::string rack);
  ~Runner();
  void Begin();
  /// Ends the process: connections are reset and all that it ran is gone.
  /// @param silent its machine loses power: open connections stay silent.
  ///     New ones work once it has begun again.
  /// @param entry_ms after which the platform removes the entry, unless it
  ///     begins again before.
  void Crash(std::int64_t entry_ms = 4500, bool silent = false);
  /// Says in its entry that it drains.
  void Drain(std::int64_t left_ms);
  /// Leaves: the process ends and the entry is removed.
  void Leave();
  const std::string& id() const { return id_; }
  int port() const { return port_; }
  bool up() const { return up_; }
  /// Called for each order before it is handled; may return another answer.
  std::function<std::optional<Response>(const Request&, const Json&)> before;
  /// Called with each answer that is about to be sent, with the lock held.
  std::function<void(const Request&, const Json&, Response&)> after;
  /// Ends a run now. The lock must be held.
  void EndRun(const std::string& task, const std::string& how);
  std::uint64_t holds = 0;
  /// It doesn't reach the store.
  std::atomic<bool> cut_from_store{false};

 private:
  struct Run {
    std::uint64_t run = 0;
    std::int64_t from = 0, ends_at = 0, work = 0;
    std::int64_t stop_at = -1;
    std::string checkpoint;
  };
  Response Handle(const Request& request, std::uint64_t life);
  Response Start(const Json& body);
  Response Stop(const Json& body);
  Response Hold(const Json& body, std::unique_lock<std::mutex>& lock,
                std::uint64_t life);
  Json Entry();
  void Tick();
  std::int64_t ClockMs() const;
  Response Conflict(const std::string& reason);
  void NoteEnd(const std::string& task, std::uint64_t run,
               const std::string& how);
  Runners& all_;
  Store& store_;
  std::string id_, service_, kind_, rack_;
  std::unique_ptr<Server> server_;
  std::vector<std::unique_ptr<Server>> old_servers_;
  int port_ = 0;
  std::uint64_t life_ = 0;
  std::int64_t born_wall_ = 0, born_ms_ = 0;
  std::string state_ = "ready";
  std::int64_t drain_until_ = 0;
  std::uint64_t fence_ = 0, seq_ = 0, last_end_ = 0;
  std::int64_t until_ = 0;  ///< On its own clock.
  std::map<std::string, Run> runs_;
  std::map<std::string, std::uint64_t> highest_ended_;
  std::deque<Json> ends_;
  std::int64_t next_beat_ = 0;
  bool up_ = false, quit_ = false;
  std::thread ticker_;
};

/// Twelve runners of service-1, six a rack, i-runner-01 to i-runner-12. Only the
/// last one is of kind-b: one of twelve is within each share that the pages set.
std::vector<std::unique_ptr<Runner>> TwelveRunners(Runners& all, Store& store);

/// One instance of the system.
class Instance {
 public:
  Instance(std::string name, const std::string& zone, int store_port,
           const std::string& folder);
  ~Instance();
  void Start();
  void Signal(int number);
  void WaitEnd();
  bool running();
  bool WaitReady(std::int64_t ms);
  int callers = 0, readiness = 0, metrics = 0, peers = 0;
  const std::string name;
  pid_t pid = -1;

 private:
  std::string settings_, log_;
};

int FreePort();
/// Removed by `Finish`.
std::string TemporaryFolder();

/// Ends the instances, removes the folder and ends this process.
[[noreturn]] void Finish(int result, const std::vector<Instance*>& instances);

/// A request of a client with its key.
Response Client(int port, const std::string& method, const std::string& path,
                const std::string& body = "", std::int64_t timeout_ms = 3000);

/// The configuration that the operator writes: queue `name` at /name/.
Json Configuration(std::uint64_t version, int guaranteed = 8);

bool Trouble();

}  // namespace review

#endif  // REVIEW_STANDINS_2_WORLD_HPP_
