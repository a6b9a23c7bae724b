// Tests the order in which decisions of several threads are performed.

#include "ActionQueue/action_queue.h"

#include <CppUTest/TestHarness.h>

#include <memory>
#include <thread>
#include <vector>

using namespace amaranthhoist;

// clang-format off
TEST_GROUP(ActionQueue) {
  std::vector<int> Performed;
  std::function<void(int)> OnAction = [](int) {};
  std::unique_ptr<rpc_loop> Loop = std::make_unique<rpc_loop>();
  action_queue<int> Queue{*Loop, [this](int &Number) {
    Performed.push_back(Number);
    OnAction(Number);
  }};

  void expect(const std::vector<int> &Wanted) {
    Loop->run([] {});
    CHECK(Performed == Wanted);
  }
};
// clang-format on

// Guards against messages that are sent in another order than the state
// changed. The failure occurs when a timer's or a worker's thread decides and
// posts its actions, and a step on the loop decides and acts before the loop
// runs the posted function. Two paths led to the same peers and servers, and
// the later one was shorter.
TEST(ActionQueue, LoopStepDoesNotOvertakeEarlierStepOfAnotherThread) {
  Loop->run([this] {
    std::thread([this] {
      Queue.append({1, 2});
      Queue.drain();
    }).join();
    Queue.append({3});
    Queue.drain();
  });
  expect({1, 2, 3});
}

// The same failure between a decision and its post: the deciding thread is
// delayed, and another thread's step performs the actions of both.
TEST(ActionQueue, PerformsInDecisionOrderWhenAThreadIsDelayed) {
  Loop->run([this] {
    std::thread([this] { Queue.append({1}); }).join();
    Queue.append({2});
    Queue.drain();
  });
  expect({1, 2});
}

// The same symptom within one thread: one decision has two actions, and the
// first triggers a further step at once, whose actions are performed before the
// second.
TEST(ActionQueue, NestedStepRunsAfterRemainingActions) {
  OnAction = [this](int Number) {
    if (Number != 1)
      return;
    Queue.append({3});
    Queue.drain();
  };
  Loop->run([this] {
    Queue.append({1, 2});
    Queue.drain();
  });
  expect({1, 2, 3});
}

// An action that throws does not block the others permanently.
TEST(ActionQueue, ThrowingActionDoesNotBlockTheQueue) {
  OnAction = [](int Number) {
    if (Number == 1)
      kj::throwFatalException(KJ_EXCEPTION(FAILED, "an action fails"));
  };
  Loop->run([this] {
    Queue.append({1, 2});
    CHECK(kj::runCatchingExceptions([this] { Queue.drain(); }) != nullptr);
    Queue.drain();
  });
  expect({1, 2});
}
