package org.ploverspindle.api;

import static org.junit.jupiter.api.Assertions.assertEquals;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.function.Consumer;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.ploverspindle.NoOpLeaderNotifier;
import org.ploverspindle.model.Catalogue;
import org.ploverspindle.model.MachineType;
import org.ploverspindle.model.Resources;
import org.ploverspindle.net.Cbor;
import org.ploverspindle.pipelines.Pipelines;
import org.ploverspindle.settings.Address;
import org.ploverspindle.settings.Settings;
import org.ploverspindle.state.AcceptedJobIndex;
import org.ploverspindle.state.Keys;
import org.ploverspindle.state.ProgressCounts;
import org.ploverspindle.state.Replica;
import org.ploverspindle.state.StateStore.Change;
import org.ploverspindle.state.StateStore.TransactionResult;
import org.ploverspindle.state.TokenBucket;

/**
 * Guards against missing or outdated responses to submissions that arrive while the write of an
 * earlier submission is in flight.
 */
class UserRequestsTest {
  private final ManualStateStore store = new ManualStateStore();
  private UserRequests requests;

  private static Settings settings() {
    Address nowhere = new Address("127.0.0.1", 1);
    return new Settings(
        "n0",
        "a",
        nowhere,
        nowhere,
        List.of(),
        nowhere,
        nowhere,
        List.of("a"),
        500,
        List.of(new Settings.Team("red", 8, 0, 0, 0)),
        List.of(),
        new Settings.WorkerLimits(3, 14, 39),
        new Settings.StateLimits(120, 35, 8, 12),
        new Settings.CloudLimits(20, 3),
        new Settings.Quota(1, 200, 500));
  }

  @BeforeEach
  void open() {
    Settings settings = settings();
    Replica replica = new Replica(store, store, Keys.PREFIX, 700, new SplittableRandom(1));
    AcceptedJobIndex acceptedJobs = new AcceptedJobIndex(replica);
    ProgressCounts counts = new ProgressCounts(replica, acceptedJobs);
    Catalogue catalogue = new Catalogue(settings.zones());
    catalogue.update(
        List.of(
            new MachineType(
                "small", Resources.offered(4, 0, 16), 40, 1, 0.3, 0.1, 5, settings.zones())));
    requests =
        new UserRequests(
            store,
            new JobViews(
                replica, acceptedJobs, new Pipelines(store, replica, acceptedJobs), counts),
            new StateWriteAccess(
                store, new TokenBucket(store, 100, 100), "n0-1", new NoOpLeaderNotifier()),
            catalogue,
            settings);
    replica.start();
    store.runFor(1_000);
  }

  private List<Integer> submit(String uid) {
    List<Integer> statuses = new ArrayList<>();
    submit(uid, response -> statuses.add(response.status()));
    return statuses;
  }

  private void submit(String uid, Consumer<ApiResponse> responder) {
    ObjectNode body = Cbor.map().put("uid", uid).put("jobclass", "c").put("owner", "red");
    body.put("shape", "batch").put("urgency", "normal").put("pieces", 1).put("cores", 1.0);
    body.put("accelerators", 0.0).put("mem_gb", 1.0).put("bundle", "i").put("image_gb", 1.0);
    body.put("one_zone", false).put("apart", false).put("loaners", true).put("expected_s", 5.0);
    body.put("save_every_s", 0.0).put("save_cost_s", 0.0);
    requests.submit(Cbor.write(body), responder);
  }

  private List<String> submitForStatusAndState(String uid) {
    List<String> responses = new ArrayList<>();
    submit(uid, response -> responses.add(response.status() + " " + state(response)));
    return responses;
  }

  private static String state(ApiResponse response) {
    return Cbor.readMap(response.body()).orElseThrow().path("status").asText();
  }

  @Test
  void queuedSubmissionIsWrittenAfterConflictWithTerminalJob() {
    List<Integer> terminal = submit("run-0");
    store.runFor(10);
    // Meanwhile another controller accepted the job, and its user cancelled it.
    store.writeFromAnotherProcess(
        Keys.jobBatch("n1-1"), Cbor.map().set("run-0", Cbor.map().put("tasks", 1)));
    store.writeFromAnotherProcess(Keys.cancellation("run-0"), Cbor.map());
    List<Integer> queued = submit("run-1");
    assertEquals(TransactionResult.Conflict.class, store.commitAndRespond().getClass());
    store.runFor(1_000);
    assertEquals(List.of(200), terminal);
    assertEquals(1, store.inFlightCount(), "the next write is sent without a further submission");
    store.commitAndRespond();
    assertEquals(List.of(201), queued);
  }

  /**
   * The write of the first request is durable but its response is delayed. Another controller
   * reports the job as aborted before the user repeats the request here. The response to the
   * repeated request must not be the "queued" of the earlier write.
   */
  @Test
  void repeatedSubmissionIsNotAnsweredByEarlierWrite() {
    List<String> first = submitForStatusAndState("run-0");
    store.runFor(10);
    Change.Put written = (Change.Put) store.oldestTransaction().changes().get(0);
    store.writeFromAnotherProcess(written.key(), written.value());
    store.writeFromAnotherProcess(Keys.cancellation("run-0"), Cbor.map());
    List<String> repeat = submitForStatusAndState("run-0");
    store.respondWithoutCommit(new TransactionResult.Committed(2));
    store.runFor(1_000);
    assertEquals(List.of("201 queued"), first);
    assertEquals(List.of("200 aborted"), repeat);
  }

  /**
   * The write is durable and its response is delayed. Another controller reads the job, cancels it
   * and reports that, and then the user repeats the request here. The conditions of the write hold
   * only for the time of the write, which is earlier than that of the repeated request.
   */
  @Test
  void repeatedSubmissionAfterSendIsAnsweredByLaterRead() {
    List<String> first = submitForStatusAndState("run-0");
    store.runFor(10);
    Runnable respond = store.commitAndDelayResponse();
    store.writeFromAnotherProcess(Keys.cancellation("run-0"), Cbor.map());
    List<String> repeat = submitForStatusAndState("run-0");
    respond.run();
    store.runFor(1_000);
    assertEquals(List.of("201 queued"), first, "the first request arrived before the cancellation");
    assertEquals(List.of("200 aborted"), repeat);
  }
}
