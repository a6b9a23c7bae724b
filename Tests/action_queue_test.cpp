// The order in which what several threads decide is carried out.

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

// Symptom: messages leave in another order than the state changed. Sequence: a
// timer's or a worker's thread decides and posts what follows; before the loop
// comes to that, a step on the loop decides and acts at once. Cause: two ways
// to the same peers and servers, of which the later one was shorter.
TEST(ActionQueue, AStepOnTheLoopDoesNotOvertakeAnEarlierOneElsewhere) {
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

// The same between the decision and its post: the thread that has decided is
// held up, and another one's step carries out both.
TEST(ActionQueue, WhatWasDecidedFirstComesFirstHoweverLateItsThread) {
  Loop->run([this] {
    std::thread([this] { Queue.append({1}); }).join();
    Queue.append({2});
    Queue.drain();
  });
  expect({1, 2});
}

// Symptom as above. Sequence: one decision asks for two actions; the first
// leads to a further step at once, whose actions are done before the second.
TEST(ActionQueue, AnActionsOwnStepComesAfterTheActionsBeforeIt) {
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

// One action that throws doesn't hold up the others for good.
TEST(ActionQueue, AnActionThatThrowsHoldsUpNothing) {
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
