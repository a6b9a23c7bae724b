/// A stand-in for the platform's store: object kinds, one global revision,
/// lists, long-polling watches and writes. On demand it stops responding, drops
/// watches, rejects all requests, compacts its history, or comes back from an
/// earlier copy of itself. All responses state its era.
#pragma once

#include "stand_in_server.h"

#include <nlohmann/json.hpp>

namespace amaranthhoist {

class store_stand_in : public stand_in_server {
public:
  explicit store_stand_in(event_loop &Loop) : stand_in_server(Loop) {}

  enum class mode : std::uint8_t { Serving, Silent, Refusing };
  /// Silent mode drops all waiting watches without a response.
  void setMode(mode NewMode);
  void put(const std::string &Kind, const std::string &Name,
           const nlohmann::json &Specification);
  /// Writes an object of another writer, with the bytes \p Text as its
  /// specification.
  void putBytes(const std::string &Kind, const std::string &Name,
                const std::string &Text);
  /// Raises the revision by \p Count without a change.
  void skipRevisions(std::uint64_t Count) { Data.Revision += Count; }
  void remove(const std::string &Kind, const std::string &Name);
  /// Compacts the history: watches from older revisions receive status 410.
  void compact() { Oldest = Data.Revision; }
  /// Copies all objects and the history, for restoreCopy().
  void saveCopy() { Copy = Data; }
  /// Comes back from the copy in the next era: later changes are lost, their
  /// revisions are assigned again, and waiting watches are dropped.
  void restoreCopy();
  /// Writes again what operators and servers had written and the last restore
  /// lost, except for objects that were changed since. Another restore does so
  /// first: its writers still mean to.
  void writeLostAgain();
  [[nodiscard]] bool has(const std::string &Kind,
                         const std::string &Name) const;
  /// Copies one object from \p Other, or all of them if \p Kind is empty.
  void copyFrom(const store_stand_in &Other, const std::string &Kind = {},
                const std::string &Name = {});
  /// Number of requests received, of any kind.
  int Calls = 0;
  /// Watches that wait never get a response; all other calls do.
  bool DropsWatches = false;
  /// Number of lists requested, by kind.
  std::map<std::string, int> Lists;

private:
  void onRequest(stand_in_connection &Connection) override;
  void onWrite(stand_in_connection &Connection, const std::string &Kind,
               const std::string &Name);
  void onRead(stand_in_connection &Connection, const std::string &Kind,
              std::string_view Query);
  void respond(stand_in_connection &Connection, int Status, std::string Body);
  /// Whether an object was written or removed since the last restore.
  bool isChangedSinceRestore(const std::string &Kind, const std::string &Name);
  /// Returns false if there is no change yet, unless the watch \p IsShort.
  bool respondToWatch(stand_in_connection &Connection, const std::string &Kind,
                      std::uint64_t Since, bool IsShort);
  void wakeWatches();

  struct event {
    std::uint64_t Revision = 0;
    std::string Kind;
    bool IsDeleted = false;
    nlohmann::json Object;
  };
  struct watch {
    std::uint64_t Connection = 0;
    std::string Kind;
    std::uint64_t Since = 0;
  };
  struct contents {
    std::uint64_t Revision = 1;
    std::map<std::string, std::map<std::string, nlohmann::json>> Objects;
    std::vector<event> History;
  };
  /// Bytes that stand for a specification of that text in responses.
  std::map<std::string, std::string> RawTexts;
  mode Mode = mode::Serving;
  std::uint64_t Era = 0;
  std::uint64_t Oldest = 0;
  contents Data;
  contents Copy;
  /// What the last restore came back with, and what it replaced.
  contents Restored;
  contents Lost;
  /// What it replaced has not been written again.
  bool HasLostWrites = false;
  std::vector<watch> Watches;
};

} // namespace amaranthhoist
