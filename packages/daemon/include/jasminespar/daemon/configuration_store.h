/// @file
/// Keeps the configuration in force: commits release notes to the platform's
/// table and applies the notes that other instances committed.
///
/// Rows: "configuration/head" names the revision and the last snapshot;
/// "note/NNNN" is a ring of the newest notes. Objects "configuration/R-N" are
/// snapshots, each a complete configuration. A note is committed by one
/// transaction conditional on the head, so that one of several concurrent notes
/// is accepted.

#ifndef JASMINESPAR_DAEMON_CONFIGURATION_STORE_H_
#define JASMINESPAR_DAEMON_CONFIGURATION_STORE_H_

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "jasminespar/configuration/active_configuration.h"
#include "jasminespar/configuration/configuration.h"
#include "jasminespar/configuration/note_commit.h"
#include "jasminespar/configuration/release_note.h"
#include "jasminespar/daemon/duty_messages.h"
#include "jasminespar/platform/table_client.h"
#include "jasminespar/telemetry/metrics.h"

namespace jasminespar::daemon {

/// Not thread-safe; owned by the platform link.
class ConfigurationStore {
 public:
  using OnChanged = std::function<void(ConfigurationPtr)>;
  using OnResponse = std::function<void(NoteResponse)>;

  ConfigurationStore(boost::asio::io_context& context,
                     platform::TableClient& table, Duration poll_interval,
                     OnChanged on_changed, telemetry::Metrics& metrics);

  /// Starts to poll the table for new revisions.
  void Start();

  /// Sets the topology against which new notes are compiled.
  void ApplyCells(CellsPtr cells) { cells_ = std::move(cells); }

  /// Compiles a note and, unless `check_only`, commits it. Submissions are
  /// processed one at a time, in order.
  /// @param text the note as JSON.
  /// @param on_response called once, on the io_context.
  void Submit(std::string text, bool check_only, OnResponse on_response);

  /// @return the kept notes above `after`, as JSON for operators.
  [[nodiscard]] NoteResponse ListAfter(Revision after) const;

  /// @return what a peer at revision `after` needs to reach this revision: the
  ///     notes in between, or the complete configuration.
  [[nodiscard]] protocol::Notes NotesAfter(Revision after) const;

  /// Applies what a peer sent; notes that are not newer are ignored.
  void ApplyPeerNotes(const protocol::Notes& notes);

 private:
  /// The row "configuration/head".
  struct Head {
    std::uint64_t revision = 0;
    std::uint64_t snapshot = 0;  ///< Revision of the last snapshot.
    std::string snapshot_key;
    std::uint64_t version = platform::kAbsentVersion;
  };
  struct Submission {
    std::string text;
    bool check_only = false;
    OnResponse on_response;
  };

  using Notes = std::vector<configuration::ReleaseNote>;

  boost::asio::awaitable<void> Poll();
  boost::asio::awaitable<Head> FetchHead();
  /// Applies the revisions up to the head.
  boost::asio::awaitable<void> CatchUp(Head head);
  boost::asio::awaitable<void> LoadConfiguration(Head head);
  boost::asio::awaitable<configuration::Configuration> FetchSnapshot(
      std::string key);
  boost::asio::awaitable<Notes> FetchNotes(std::uint64_t first,
                                           std::uint64_t last);
  boost::asio::awaitable<void> ProcessSubmissions();
  boost::asio::awaitable<NoteResponse> HandleSubmission(std::string text,
                                                        bool check_only);
  boost::asio::awaitable<NoteResponse> Commit(configuration::ReleaseNote note,
                                              configuration::Configuration next,
                                              Head head);
  boost::asio::awaitable<configuration::WriteResult> Write(
      configuration::ReleaseNote note, configuration::Configuration next,
      Head head);
  boost::asio::awaitable<std::optional<configuration::ReadBackResult>> ReadBack(
      Revision revision);
  /// Accepts the note if it was committed before; refuses it otherwise.
  boost::asio::awaitable<NoteResponse> RespondToConflict(
      configuration::ReleaseNote note);

  void ApplyNote(const configuration::ReleaseNote& note);
  void ApplyConfiguration(configuration::Configuration whole);
  void Publish(const configuration::RevisionOutcome& outcome);

  boost::asio::io_context& context_;
  platform::TableClient& table_;
  Duration poll_interval_;
  OnChanged on_changed_;
  telemetry::Metrics& metrics_;
  CellsPtr cells_;
  configuration::ActiveConfiguration keeper_;
  std::map<std::uint64_t, std::string> recent_notes_;  // Texts by revision.
  std::deque<Submission> submissions_;
  bool processing_ = false;
};

}  // namespace jasminespar::daemon

#endif  // JASMINESPAR_DAEMON_CONFIGURATION_STORE_H_
