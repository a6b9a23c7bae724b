#include "daemon_stand_ins.h"

#include "stand_in_server.h"

#include <thread>

namespace amaranthhoist {

static constexpr duration PollPause = std::chrono::milliseconds(5);

instance_settings standInSettings() {
  instance_settings Settings;
  Settings.Instance = "self";
  Settings.Region = "north";
  Settings.FailureDomain = "north-a";
  Settings.LinkMs = {{"north", 1}};
  Settings.Entry.Listen = freeAddress();
  Settings.Gateway.Listen = freeAddress();
  Settings.Gateway.Sites = {"site-a"};
  Settings.Control.Listen = freeAddress();
  return Settings;
}

bool waitUntil(const std::function<bool()> &Holds) {
  const instant Until = currentInstant() + HangLimit;
  while (!Holds()) {
    if (currentInstant() >= Until)
      return false;
    std::this_thread::sleep_for(PollPause);
  }
  return true;
}

class stand_in_gateways::server final : public wire::Gateway::Server {
public:
  explicit server(stand_in_gateways &Owner) : Owner(Owner) {}

protected:
  kj::Promise<void> run(RunContext) override {
    ++Owner.Runs;
    return kj::NEVER_DONE;
  }
  kj::Promise<void> seal(SealContext Context) override {
    ++Owner.Seals;
    Context.getResults().initAnswer().setOutcome(wire::Outcome::NOT_RUN);
    return kj::READY_NOW;
  }
  kj::Promise<void> offers(OffersContext) override { return kj::READY_NOW; }
  kj::Promise<void> deliver(DeliverContext Context) override {
    const auto Params = Context.getParams();
    const std::lock_guard Guard(Owner.Lock);
    Owner.Delivered.emplace_back(toString(Params.getTo()),
                                 readPeerMessage(Params.getMessage()));
    return kj::READY_NOW;
  }
  kj::Promise<void> status(StatusContext) override { return kj::READY_NOW; }

private:
  stand_in_gateways &Owner;
};

stand_in_gateways::stand_in_gateways() : Address(freeAddress()) {
  Loop.run([this] { (void)Loop.listen(Address, kj::heap<server>(*this)); });
}

stand_in_gateways::~stand_in_gateways() = default;

std::vector<std::pair<std::string, peer_message>>
stand_in_gateways::delivered() {
  const std::lock_guard Guard(Lock);
  return Delivered;
}

class stand_in_control::server final : public wire::Control::Server {
public:
  explicit server(stand_in_control &Owner) : Owner(Owner) {}

protected:
  kj::Promise<void> changes(ChangesContext Context) override {
    const std::uint64_t Asked = Context.getParams().getSequence();
    const std::lock_guard Guard(Owner.Lock);
    if (Asked >= Owner.Items.size())
      return Owner.Loop.after(PollPause).then(
          [this, Context]() mutable { return changes(Context); });
    auto Results = Context.getResults();
    Results.setEpoch(1);
    Results.setSequence(Owner.Items.size());
    const auto New = std::span(Owner.Items).subspan(Asked);
    writeItems(New, Results.initItems(static_cast<unsigned>(New.size())));
    return kj::READY_NOW;
  }
  kj::Promise<void> update(UpdateContext Context) override {
    const std::lock_guard Guard(Owner.Lock);
    Owner.Written.insert(toString(Context.getParams().getKey()));
    Context.getResults().setResult(wire::UpdateResult::WRITTEN);
    Context.getResults().setVersion(FirstWritten +
                                    std::int64_t(Owner.Written.size()));
    return kj::READY_NOW;
  }

private:
  /// Higher than the versions that the tests use.
  static constexpr std::int64_t FirstWritten = 1'000;

  stand_in_control &Owner;
};

stand_in_control::stand_in_control() : Address(freeAddress()) {
  Loop.run([this] { (void)Loop.listen(Address, kj::heap<server>(*this)); });
}

stand_in_control::~stand_in_control() = default;

void stand_in_control::announce(const std::string &Key, std::int64_t Version,
                                const std::string &Value) {
  const std::lock_guard Guard(Lock);
  Items.push_back({Key, Version, Value.empty(), Value});
}

bool stand_in_control::hasWritten(const std::string &Key) {
  const std::lock_guard Guard(Lock);
  return Written.contains(Key);
}

void daemon_view::put(const std::string &Key, std::int64_t Version,
                      const std::string &Value) {
  Fresh.push_back({Key, Version, false, Value});
}

void daemon_view::remove(const std::string &Key, std::int64_t Version) {
  Fresh.push_back({Key, Version, true, ""});
}

view_change daemon_view::change() {
  Batch = std::exchange(Fresh, {});
  updateView(View, Batch);
  return {View, Batch, Down, false};
}

} // namespace amaranthhoist
