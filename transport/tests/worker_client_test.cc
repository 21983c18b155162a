#include "sapphirewheel/transport/worker_client.h"

#include <functional>
#include <string>

#include "sapphirewheel/transport/digest.h"
#include "transport/tests/test_support.h"

#include "CppUTest/TestHarness.h"

using sapphirewheel::Awaited;
using sapphirewheel::ClosedEndpoint;
using sapphirewheel::Epoch;
using sapphirewheel::FakeServer;
using sapphirewheel::FenceReply;
using sapphirewheel::HttpResponseText;
using sapphirewheel::JobId;
using sapphirewheel::Millis;
using sapphirewheel::NodeId;
using sapphirewheel::OwnershipCall;
using sapphirewheel::OwnershipOutcome;
using sapphirewheel::OwnershipReply;
using sapphirewheel::Sha256Hex;
using sapphirewheel::TaskId;
using sapphirewheel::TaskKind;
using sapphirewheel::TaskStart;
using sapphirewheel::TaskStartOutcome;
using sapphirewheel::TaskStartReply;
using sapphirewheel::TaskState;
using sapphirewheel::TestSocket;
using sapphirewheel::WorkerClient;

namespace {

void RunDirectly(const std::function<void()>& task) { task(); }

// A worker that records all requests and gives the same response to each. An empty response closes
// the connection.
struct FakeWorker {
  explicit FakeWorker(std::string response)
      : server([this, response = std::move(response)](TestSocket& socket, int) {
          for (std::string text = socket.ReadMessage(); !text.empty();
               text = socket.ReadMessage()) {
            requests.Set(text);
            if (response.empty()) return;
            socket.Send(response);
          }
        }) {}
  Awaited<std::string> requests;
  FakeServer server;
};

TaskStart NewTask(const std::string& address, TaskKind kind = TaskKind::kRequest) {
  TaskStart task;
  task.task = TaskId("t1");
  task.address = address;
  task.node = NodeId("dc1-e1#ab");
  task.epoch = Epoch(4);
  task.kind = kind;
  task.body = "order";
  return task;
}

TaskStartReply Start(WorkerClient& client, TaskStart task) {
  Awaited<TaskStartReply> reply;
  client.hooks().start(std::move(task), [&](TaskStartReply got) { reply.Set(std::move(got)); });
  auto got = reply.Get();
  CHECK_TRUE(got.has_value());
  return *got;
}

std::string TaskAnswer(int status, const std::string& task, const std::string& digest,
                       const std::string& body) {
  return HttpResponseText(status, body,
                          "Sapphirewheel-Task: " + task + "\r\nSapphirewheel-Digest: " + digest +
                              "\r\nContent-Type: text/plain\r\n");
}

TaskStartReply StartAt(const std::string& response, TaskKind kind = TaskKind::kRequest) {
  FakeWorker worker(response);
  WorkerClient client({}, RunDirectly);
  return Start(client, NewTask(worker.server.endpoint().str(), kind));
}

OwnershipReply RequestOwnership(const std::string& response) {
  FakeWorker worker(response);
  WorkerClient client({}, RunDirectly);
  Awaited<OwnershipReply> reply;
  OwnershipCall call;
  call.address = worker.server.endpoint().str();
  call.node = NodeId("dc1-e1#ab");
  call.acknowledged = {TaskId("t7")};
  client.hooks().ownership(call, [&](OwnershipReply got) { reply.Set(std::move(got)); });
  auto got = reply.Get();
  CHECK_TRUE(got.has_value());
  CHECK_TRUE(
      worker.requests.Get()->find(R"({"node":"dc1-e1#ab","release":false,"acknowledge":["t7"]})") !=
      std::string::npos);
  return *got;
}

}  // namespace

// clang-format off
TEST_GROUP(WorkerClient) {
  void setup() override { sapphirewheel::EnableThreadSafeLeakCheck(); }
};
// clang-format on

// Guards against a digest that differs from the one that workers compute (FIPS 180-4 test vector).
TEST(WorkerClient, ComputesTheStandardDigest) {
  STRCMP_EQUAL("ba7816bf8f01cfea414140de5dae2223b00361a396177a9cb410ff61f20015ad",
               Sha256Hex("abc").c_str());
}

// Guards against a response that is lost or altered, and against request headers that are missing.
TEST(WorkerClient, RunsRequests) {
  FakeWorker worker(TaskAnswer(200, "t1", Sha256Hex("result"), "result"));
  WorkerClient client({}, RunDirectly);
  const TaskStartReply reply = Start(client, NewTask(worker.server.endpoint().str()));
  CHECK_TRUE(reply.outcome == TaskStartOutcome::kDone);
  STRCMP_EQUAL("result", reply.answer.c_str());
  STRCMP_EQUAL("text/plain", reply.content_type.c_str());
  const std::string sent = *worker.requests.Get();
  for (const char* part :
       {"POST /v1/tasks HTTP/1.1\r\n", "Sapphirewheel-Task: t1\r\n",
        "Sapphirewheel-Node: dc1-e1#ab\r\n", "Sapphirewheel-Epoch: 4\r\n",
        "Sapphirewheel-Kind: request\r\n", "Sapphirewheel-Slots: 1\r\n", "\r\n\r\norder"}) {
    CHECK_TRUE_TEXT(sent.find(part) != std::string::npos, part);
  }
  CHECK_TRUE(StartAt(TaskAnswer(500, "t1", Sha256Hex("why"), "why")).outcome ==
             TaskStartOutcome::kFailed);
}

// Guards against accepting the response to another caller's request, or an altered one.
TEST(WorkerClient, RejectsMisdirectedOrAlteredResponses) {
  const std::string digest = Sha256Hex("result");
  const std::string responses[] = {TaskAnswer(200, "t2", digest, "result"),
                                   TaskAnswer(200, "t1", digest, "other"),
                                   TaskAnswer(200, "t1", "", "result"),
                                   TaskAnswer(500, "t2", digest, "result"),
                                   HttpResponseText(200, "result"),
                                   HttpResponseText(500, "result"),
                                   HttpResponseText(202, "{}"),
                                   HttpResponseText(503, "{}"),
                                   TaskAnswer(409, "t2", "", R"({"code":"no-slot"})"),
                                   ""};
  for (const std::string& response : responses) {
    CHECK_TRUE_TEXT(StartAt(response).outcome == TaskStartOutcome::kUnknown, response.c_str());
  }
}

// Guards against reporting "not run" without proof, and against reporting refusals as unknown.
TEST(WorkerClient, TreatsOnlyKnownRefusalsAsNotRun) {
  for (const std::string& code :
       {std::string("not-owner"), std::string("fenced"), std::string("stale-epoch"),
        std::string("stale-job-epoch"), std::string("no-slot"), std::string("draining"),
        std::string("stopped")}) {
    const TaskStartReply reply = StartAt(TaskAnswer(409, "t1", "", "{\"code\":\"" + code + "\"}"));
    CHECK_TRUE(reply.outcome == TaskStartOutcome::kNotRun);
    STRCMP_EQUAL(code.c_str(), reply.reason.c_str());
  }
  const auto outcome = [](int status, const char* body) {
    return StartAt(TaskAnswer(status, "t1", "", body)).outcome;
  };
  CHECK_TRUE(outcome(409, R"({"code":"other"})") == TaskStartOutcome::kUnknown);
  CHECK_TRUE(outcome(409, "") == TaskStartOutcome::kUnknown);
  CHECK_TRUE(outcome(410, R"({"code":"fenced"})") == TaskStartOutcome::kNotRun);
  // Without the task's id, the refusal may be that of another task.
  const auto unnamed = StartAt(HttpResponseText(409, R"({"code":"no-slot"})"));
  CHECK_TRUE(unnamed.outcome == TaskStartOutcome::kUnknown);
}

// Guards against reporting a task that was never sent as possibly run.
TEST(WorkerClient, ReportsUnreachableWorkersAsNotRun) {
  WorkerClient client({}, RunDirectly);
  CHECK_TRUE(Start(client, NewTask(ClosedEndpoint().str())).outcome == TaskStartOutcome::kNotRun);
  CHECK_TRUE(Start(client, NewTask("no address")).outcome == TaskStartOutcome::kNotRun);
}

// Guards against reporting a task that exceeds its time limit as not run.
TEST(WorkerClient, ReportsLateResponsesAsUnknown) {
  FakeServer silent([](TestSocket& socket, int) { socket.ReadAll(); });
  WorkerClient client({}, RunDirectly);
  TaskStart task = NewTask(silent.endpoint().str());
  task.timeout = Millis(50);
  CHECK_TRUE(Start(client, task).outcome == TaskStartOutcome::kUnknown);
}

// Guards against an unbounded number of calls in progress.
TEST(WorkerClient, RefusesCallsBeyondTheBound) {
  FakeServer silent([](TestSocket& socket, int) { socket.ReadAll(); });
  WorkerClient::Settings settings;
  settings.max_in_flight = 1;
  WorkerClient client(settings, RunDirectly);
  Awaited<TaskStartReply> first;
  client.hooks().start(NewTask(silent.endpoint().str()),
                       [&](TaskStartReply got) { first.Set(std::move(got)); });
  CHECK_TRUE(Start(client, NewTask(silent.endpoint().str())).outcome == TaskStartOutcome::kNotRun);
  client.Stop();
  CHECK_TRUE(first.Get().has_value());
  CHECK_EQUAL(0U, client.InFlight());
}

// Guards against missing job headers, and against an accepted job that is not recognized as such.
TEST(WorkerClient, StartsJobs) {
  FakeWorker worker(TaskAnswer(202, "t1", "", "{}"));
  WorkerClient client({}, RunDirectly);
  TaskStart task = NewTask(worker.server.endpoint().str(), TaskKind::kJob);
  task.job = JobId("j1");
  task.job_epoch = Epoch(2);
  CHECK_TRUE(Start(client, task).outcome == TaskStartOutcome::kDone);
  const std::string sent = *worker.requests.Get();
  for (const char* part : {"Sapphirewheel-Kind: job\r\n", "Sapphirewheel-Job: j1\r\n",
                           "Sapphirewheel-Job-Epoch: 2\r\n", "Sapphirewheel-Checkpoint: "}) {
    CHECK_TRUE_TEXT(sent.find(part) != std::string::npos, part);
  }
  CHECK_TRUE(StartAt(HttpResponseText(200, "{}"), TaskKind::kJob).outcome ==
             TaskStartOutcome::kUnknown);
}

// Guards against fields of a report that are not decoded.
TEST(WorkerClient, ReadsOwnershipReports) {
  const OwnershipReply reply = RequestOwnership(HttpResponseText(
      200, R"({"epoch":4,"boot":"b1","lease_ms":2000,"slots":8,"free_slots":5,"leaving":true,)"
           R"("used_millicores":12500,"tasks":[{"task":"t1","node":"n","job":"j1","job_epoch":2,)"
           R"("team":"a","slots":2,"state":"failed","reason":"r","checkpoint":"c","progress":0.4,)"
           R"("result":"text","used_millicores":900}]})"));
  CHECK_TRUE(reply.outcome == OwnershipOutcome::kGranted);
  CHECK_TRUE(reply.report.epoch == Epoch(4));
  CHECK_TRUE(reply.report.lease == Millis(2000));
  CHECK_TRUE(reply.report.leaving);
  CHECK_EQUAL(1U, reply.report.tasks.size());
  const auto& task = reply.report.tasks[0];
  CHECK_TRUE(task.state == TaskState::kFailed);
  CHECK_TRUE(task.job_epoch == Epoch(2));
  DOUBLES_EQUAL(0.4, task.progress, 1e-9);
}

// Guards against assuming ownership without a grant.
TEST(WorkerClient, ReadsOwnershipRefusals) {
  const OwnershipReply other =
      RequestOwnership(HttpResponseText(409, R"({"owner":"dc1-e2#cd","lease_ms":1200})"));
  CHECK_TRUE(other.outcome == OwnershipOutcome::kHeldByOther);
  STRCMP_EQUAL("dc1-e2#cd", other.owner.str().c_str());
  CHECK_TRUE(RequestOwnership(HttpResponseText(410, R"({"code":"fenced"})")).outcome ==
             OwnershipOutcome::kFenced);
  CHECK_TRUE(RequestOwnership(HttpResponseText(200, "{}")).outcome ==
             OwnershipOutcome::kUnreachable);
  CHECK_TRUE(RequestOwnership(HttpResponseText(500, "{}")).outcome ==
             OwnershipOutcome::kUnreachable);
}

// Guards against reclaiming tokens without the worker's confirmation.
TEST(WorkerClient, ConfirmsFencesOnlyWithATaskCount) {
  for (const std::string& response :
       {HttpResponseText(200, "{}"), HttpResponseText(500, R"({"running":0})"), std::string()}) {
    FakeWorker worker(response);
    WorkerClient client({}, RunDirectly);
    Awaited<FenceReply> reply;
    client.hooks().fence(worker.server.endpoint().str(), NodeId("n"),
                         [&](FenceReply got) { reply.Set(got); });
    CHECK_FALSE(reply.Get()->confirmed);
  }
  FakeWorker worker(HttpResponseText(200, R"({"running":2})"));
  WorkerClient client({}, RunDirectly);
  Awaited<FenceReply> reply;
  client.hooks().fence(worker.server.endpoint().str(), NodeId("n"),
                       [&](FenceReply got) { reply.Set(got); });
  CHECK_TRUE(reply.Get()->confirmed);
  CHECK_EQUAL(2, reply.Get()->running);
}

// Guards against stop and checkpoint calls that address the wrong task.
TEST(WorkerClient, ControlsTasks) {
  FakeWorker worker(HttpResponseText(200, R"({"checkpoint":"jobs/j1/3"})"));
  WorkerClient client({}, RunDirectly);
  const auto hooks = client.hooks();
  const std::string address = worker.server.endpoint().str();
  Awaited<bool> stopped;
  hooks.stop(address, TaskId("t#1"), [&](bool done) { stopped.Set(done); });
  CHECK_TRUE(*stopped.Get());
  CHECK_TRUE(worker.requests.Get(1)->find("POST /v1/tasks/t%231/stop HTTP/1.1") == 0);
  Awaited<std::string> checkpoint;
  hooks.checkpoint(address, TaskId("t1"), [&](std::string name) { checkpoint.Set(name); });
  STRCMP_EQUAL("jobs/j1/3", checkpoint.Get()->c_str());
  CHECK_TRUE(worker.requests.Get(2)->find("POST /v1/tasks/t1/checkpoint HTTP/1.1") == 0);
}
