// Time, messages, faults and the run of the seeded scheduler.

#include "world_state.h"

namespace amaranthhoist::testing {

void world::at(instant Time, action Action) {
  Events.push({Time, NextOrder++, std::move(Action)});
}

void world::repeat(duration Period, const action &Action) {
  after(Period, [this, Period, Action] {
    Action();
    if (Now < Stop + seconds(10))
      repeat(Period, Action);
  });
}

void world::send(const std::string &From, const std::string &To, bool Reliable,
                 const action &Deliver) {
  const bool Lost = !Reliable && chance(Options.LossPercent);
  const int Copies = !Reliable && chance(Options.DuplicatePercent) ? 2 : 1;
  if (Lost || isCut(From, To))
    return;
  for (int Copy = 0; Copy < Copies; ++Copy) {
    // A duplicate may arrive very late. The operands of a sum are evaluated in
    // an order that depends on the machine.
    const duration Lateness =
        Copy == 0 ? duration{} : duration(milliseconds(draw(1'500)));
    after(latency() + Lateness, [this, From, To, Deliver] {
      if (!isCut(From, To))
        Deliver();
    });
  }
}

void world::injectFaults() {
  const int Victim = draw(GatewayCount);
  const int Other = (Victim + 1) % GatewayCount;
  const std::string Name = nameOf(Victim);
  const auto CutPair = [this](const std::string &From, const std::string &To,
                              bool BothWays) {
    Cut.insert({From, To});
    if (BothWays)
      Cut.insert({To, From});
  };
  const instant Begin = Now + milliseconds(500 + draw(1'500));
  const instant End = Begin + milliseconds(700 + draw(1'500));
  if (has(fault::KillGateway) || has(fault::KillTwoGateways))
    at(Begin, [=, this] { killGateway(Victim); });
  if (has(fault::KillTwoGateways))
    at(Begin + milliseconds(draw(200)), [=, this] { killGateway(Other); });
  if (has(fault::FreezeGateway))
    at(Begin, [=, this] {
      Gateways[static_cast<std::size_t>(Victim)].FrozenUntil = End;
    });
  if (has(fault::CutGateway) || has(fault::CutOneWay))
    at(Begin, [=, this] {
      for (int Peer = 0; Peer < GatewayCount; ++Peer)
        CutPair(Name, nameOf(Peer), has(fault::CutGateway));
    });
  if (has(fault::CutEntries))
    at(Begin, [=, this] {
      CutPair("entry0", Name, true);
      CutPair(Name, "entry1", false);
    });
  at(End, [this] { Cut.clear(); });
  if (has(fault::PlatformOutage)) {
    at(Begin, [this] { Pool.Outage = true; });
    at(End, [this] { Pool.Outage = false; });
  }
  Pool.LosesResponses = has(fault::LostWrites);
  if (has(fault::DrainSite)) {
    at(Begin, [this] { drainAll(true); });
    at(End, [this] { drainAll(false); });
  }
  if (has(fault::TargetDrains))
    at(Begin, [this] {
      const std::string Target = Targets.front().Name;
      Retired.insert(Target);
      Result.History.Departures.push_back({Now, Target});
    });
}

world_result world::run() {
  Stop = Now + Options.Length;
  for (int Number = 0; Number < Options.TargetCount; ++Number) {
    const std::string Name = "t" + std::to_string(Number);
    Targets.push_back(
        {Name, Site, Options.Service, Name, Options.Slots, false});
    Result.History.TargetSlots[Name] = Options.Slots;
  }
  Result.History.Sites[Site] = {CapMilliwatts, IdleMilliwatts, {{"far", 4}}};
  for (int Number = 0; Number < Options.Entries; ++Number) {
    entry_settings Settings;
    Settings.Seed = Random();
    Settings.Routing = Options.RoutingPolicy;
    Settings.RetryAfter = milliseconds(50);
    Entries.push_back(makeEntry(Settings));
    contract Contract;
    Contract.Customer = "customer";
    Contract.RequestsPerSecond = 100'000;
    Contract.Concurrency = 100'000;
    stepEntryNode(Number, contract_changed{Contract});
  }
  for (int Number = 0; Number < GatewayCount; ++Number)
    startGateway(Number);
  repeat(milliseconds(50), [this] {
    for (const gateway_process &Process : Gateways)
      onGateway(Process.Number, Process.Incarnation, [this, &Process] {
        // Simulates the watch, which may deliver late and out of order.
        if (!Pool.Outage && Pool.Record.Version > 0) {
          const pool_record Seen = Pool.Record;
          const int Number = Process.Number;
          const std::int64_t Incarnation = Process.Incarnation;
          const duration Lateness = milliseconds(draw(100));
          after(latency() + Lateness, [=, this] {
            onGateway(Number, Incarnation,
                      [=, this] { stepNode(Number, record_received{Seen}); });
          });
        }
        stepNode(Process.Number, clock_tick{});
      });
  });
  repeat(milliseconds(100), [this] {
    for (const gateway_process &Process : Gateways) {
      if (!Process.Alive || Now < Process.FrozenUntil)
        continue;
      const offer Offer = makeOffer(Process.Node, Options.Service, Now);
      for (int Entry = 0; Entry < Options.Entries; ++Entry)
        if (!isCut(nameOf(Process.Number), "entry" + std::to_string(Entry)))
          stepEntryNode(Entry, offer_received{Options.Service, Offer});
    }
  });
  repeat(milliseconds(20), [this] {
    for (int Entry = 0; Entry < Options.Entries; ++Entry)
      stepEntryNode(Entry, entry_tick{});
  });
  for (int Caller = 0; Caller < Options.Callers; ++Caller)
    after(milliseconds(500 + draw(200)),
          [this, Caller] { startCaller(Caller); });
  injectFaults();
  while (!Events.empty()) {
    const event Next = Events.top();
    Events.pop();
    Now = Next.At;
    Next.Action();
  }
  Result.Unanswered = LiveOperations;
  Result.Executions = static_cast<int>(Result.History.Executions.size());
  Result.History.End = Now;
  return std::move(Result);
}

world_result runWorld(const world_options &Options) {
  return world(Options).run();
}

} // namespace amaranthhoist::testing
