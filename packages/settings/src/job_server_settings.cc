#include "jasminespar/settings/job_server_settings.h"

#include <array>

#include "row_parser.h"

namespace jasminespar::settings {

namespace {

constexpr std::int64_t kKiB = 1 << 10;
constexpr std::int64_t kMiB = 1 << 20;
constexpr std::int64_t kMs = 1'000;  // In microseconds, the unit of Duration.
constexpr std::int64_t kS = 1'000 * kMs;
constexpr std::int64_t kH = 3'600 * kS;

using enum Presence;
using enum configuration::Unit;
using configuration::Address;

/// Short alias for the accessors in the rows.
using Settings = JobServerSettings;

constexpr std::array<SettingRow<Settings>, 26> kRows{{
    {"instance",
     "id",
     kName,
     kRequired,
     "",
     {},
     "Unique name of this instance.",
     [](Settings& s) -> InstanceId& { return s.instance; }},
    {"instance",
     "data_centre",
     kName,
     kRequired,
     "",
     {},
     "Data centre of this instance.",
     [](Settings& s) -> DataCentreId& { return s.data_centre; }},
    {"instance",
     "memory",
     kBytes,
     kDefaulted,
     "256MiB",
     {16 * kMiB, 4095 * kMiB},
     "Memory of this instance; larger ones are preferred as owners.",
     [](Settings& s) -> std::uint32_t& { return s.memory_bytes; }},
    {"listen",
     "callers",
     kAddress,
     kRequired,
     "",
     {},
     "Address on which jobs are taken and shown.",
     [](Settings& s) -> Address& { return s.caller_address; }},
    {"listen",
     "readiness",
     kAddress,
     kRequired,
     "",
     {},
     "Address on which the balancer asks whether this instance is ready.",
     [](Settings& s) -> Address& { return s.readiness_address; }},
    {"listen",
     "metrics",
     kAddress,
     kRequired,
     "",
     {},
     "Address on which GET /metrics is answered.",
     [](Settings& s) -> Address& { return s.metrics_address; }},
    {"listen",
     "peers",
     kAddress,
     kRequired,
     "",
     {},
     "Address on which other instances are heard, for UDP and for TCP.",
     [](Settings& s) -> Address& { return s.peer_address; }},
    {"listen",
     "max_connections",
     kCount,
     kDefaulted,
     "3000",
     {1, 100'000},
     "Callers' connections held at once; more are refused.",
     [](Settings& s) -> std::uint32_t& { return s.max_connections; }},
    {"clients",
     "memory_percent",
     kCount,
     kDefaulted,
     "40",
     {5, 60},
     "Percent of `memory` that clients, peers and probes may make the instance "
     "hold; above it, those that hold most for longest are refused or closed.",
     [](Settings& s) -> std::uint32_t& { return s.client_memory_percent; }},
    {"clients",
     "max_framing",
     kBytes,
     kDefaulted,
     "16KiB",
     {1 * kKiB, 1 * kMiB},
     "Trailers, chunk extensions and chunk sizes of a request, beyond 8 bytes "
     "for each byte of its body.",
     [](Settings& s) -> std::uint32_t& { return s.max_framing_bytes; }},
    {"clients",
     "max_peer_connections",
     kCount,
     kDefaulted,
     "256",
     {1, 100'000},
     "Connections held at once on the peers' address; one more takes the place "
     "of the one idle for longest.",
     [](Settings& s) -> std::uint32_t& { return s.max_peer_connections; }},
    {"clients",
     "max_probe_connections",
     kCount,
     kDefaulted,
     "64",
     {1, 100'000},
     "The same for the readiness and for the metrics address, each.",
     [](Settings& s) -> std::uint32_t& { return s.max_probe_connections; }},
    {"table",
     "address",
     kAddress,
     kRequired,
     "",
     {},
     "Address of the site's transactional table.",
     [](Settings& s) -> Address& { return s.table_address; }},
    {"table",
     "max_row",
     kBytes,
     kDefaulted,
     "64KiB",
     {16 * kKiB, 1024 * kKiB},
     "Largest value of a row that the table accepts.",
     [](Settings& s) -> std::uint32_t& { return s.max_row_bytes; }},
    {"workers",
     "max_lease",
     kDuration,
     kDefaulted,
     "10s",
     {1 * kS, 1 * kH},
     "Longest lease that a worker grants to what it runs.",
     [](Settings& s) -> Duration& { return s.max_lease; }},
    {"workers",
     "resume_delay",
     kDuration,
     kDefaulted,
     "250ms",
     {1 * kMs, 1 * kH},
     "Time until a task that resumes from a checkpoint works again.",
     [](Settings& s) -> Duration& { return s.resume_delay; }},
    {"workers",
     "stop_limit",
     kDuration,
     kDefaulted,
     "900ms",
     {1 * kMs, 1 * kH},
     "Time by which a run that was told to stop is over.",
     [](Settings& s) -> Duration& { return s.stop_limit; }},
    {"workers",
     "entry_interval",
     kDuration,
     kDefaulted,
     "1500ms",
     {1 * kMs, 1 * kH},
     "Time between two reports of a worker to the platform, which takes a "
     "worker that misses three of them for gone.",
     [](Settings& s) -> Duration& { return s.entry_interval; }},
    {"jobs",
     "reclaim_within",
     kDuration,
     kDefaulted,
     "3400ms",
     {1 * kMs, 1 * kH},
     "Time within which work under an account's guarantee begins.",
     [](Settings& s) -> Duration& { return s.reclaim_within; }},
    {"jobs",
     "evacuate_within",
     kDuration,
     kDefaulted,
     "0s",
     {0, 1 * kH},
     "Time after which nothing starts in a data centre that the operator "
     "empties; 0s: the operator empties none.",
     [](Settings& s) -> Duration& { return s.evacuate_within; }},
    {"jobs",
     "status_retention",
     kDuration,
     kDefaulted,
     "2min",
     {1 * kS, 24 * kH},
     "Time for which the state of a finished job is shown.",
     [](Settings& s) -> Duration& { return s.status_retention; }},
    {"decisions",
     "worker_pace",
     kSwitch,
     kDefaulted,
     "on",
     {},
     "Whether decisions use how fast each worker runs tasks.",
     [](Settings& s) -> Switch& { return s.worker_pace; }},
    {"decisions",
     "caller_cost",
     kSwitch,
     kDefaulted,
     "on",
     {},
     "Whether a job whose value passed long ago goes before newer work.",
     [](Settings& s) -> Switch& { return s.caller_cost; }},
    {"decisions",
     "departures",
     kSwitch,
     kDefaulted,
     "on",
     {},
     "Whether decisions use the time that a leaving worker has left.",
     [](Settings& s) -> Switch& { return s.departures; }},
    {"process",
     "shutdown_grace",
     kDuration,
     kDefaulted,
     "6s",
     {1 * kS, 1 * kH},
     "Time between the request to stop and the kill.",
     [](Settings& s) -> Duration& { return s.shutdown_grace; }},
    {"process",
     "ring_capacity",
     kCount,
     kDefaulted,
     "1024",
     {16, 1'048'576},
     "Messages in each ring between two threads.",
     [](Settings& s) -> std::uint32_t& { return s.ring_capacity; }},
}};

/// No setting is derived from others.
void DeriveNothing(JobServerSettings&) {}

void CheckConsistency(const JobServerSettings& settings,
                      RowParser<JobServerSettings>& parser) {
  if (settings.caller_address == settings.readiness_address) {
    parser.AddErrorAt("listen", "readiness", "the same as callers");
  }
}

}  // namespace

template <>
std::span<const SettingRow<JobServerSettings>>
SettingRows<JobServerSettings>() {
  return kRows;
}

std::variant<JobServerSettings, std::vector<SettingError>>
ParseJobServerSettings(const std::string& text, const std::string& file_name) {
  return RowParser<JobServerSettings>(text, file_name)
      .Finish(DeriveNothing, CheckConsistency);
}

std::string PrintJobServerSettings(const JobServerSettings& settings) {
  return PrintRows(settings);
}

}  // namespace jasminespar::settings
