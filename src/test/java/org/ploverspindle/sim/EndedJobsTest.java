package org.ploverspindle.sim;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.BitSet;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.ploverspindle.net.Cbor;
import org.ploverspindle.settings.Settings;
import org.ploverspindle.state.JobRecord;
import org.ploverspindle.state.Keys;
import org.ploverspindle.state.ProgressLogRecord;
import org.ploverspindle.state.StateStore.Change;
import org.ploverspindle.state.StateStore.Transaction;
import org.ploverspindle.state.StateStore.TransactionResult;
import org.ploverspindle.state.TaskRanges;

/** Guards against an ended job that gets another answer once its record is packed. */
class EndedJobsTest {
  private static final int CONTROLLERS = 2;

  /** An hour before the simulation begins, as recently accepted jobs are not packed. */
  private static final long ACCEPTED_MS = -3_600_000;

  /** Jobs that were accepted within this time are not packed. */
  private static final long RECENT_MS = 120_000;

  private final UserApiCluster cluster =
      new UserApiCluster(1, CONTROLLERS, new Settings.StateLimits(200, 60, 8, 12));

  private static ObjectNode record(String uid, List<String> dependencies) {
    return new JobRecord(UserApiCluster.job(uid, dependencies), ACCEPTED_MS, 20).encode();
  }

  private void write(String key, JsonNode value) {
    Transaction write = new Transaction(List.of(), List.of(new Change.Put(key, value)));
    assertTrue(cluster.commitAndCheck(write) instanceof TransactionResult.Committed);
    cluster.advance(100);
  }

  private void accept(String batch, String uid, String... dependencies) {
    ObjectNode jobs = Cbor.map();
    jobs.set(uid, record(uid, List.of(dependencies)));
    write(Keys.jobBatch(batch), jobs);
  }

  private static String text(UserApiCluster.Answer answer) {
    return answer.status() + " " + answer.state();
  }

  /** Packs what has ended at one controller, and restarts the other, which packs while it loads. */
  private void packEverywhere() {
    cluster.advance(2_000);
    cluster.controllers.get(0).specs.packEnded();
    cluster.restart(1);
    cluster.advance(3_000);
  }

  private void assertAnswers(String uid, String state) {
    for (int node = 0; node < CONTROLLERS; node++) {
      assertFalse(cluster.controllers.get(node).specs.get(uid).isPresent(), uid + " is not packed");
      assertEquals("200 " + state, text(cluster.poll(node, uid)));
      assertEquals("200 " + state, text(cluster.submit(node, uid, List.of())));
      assertEquals("200 " + state, text(cluster.cancel(node, uid)));
    }
  }

  @Test
  void packedJobsKeepTheirAnswersAtEveryController() {
    accept("a", "run-1");
    accept("b", "run-2");
    accept("9", "run-4", "run-3");
    accept("c", "run-3", "run-2", "run-1");
    cluster.commitCompletion("run-1");
    assertEquals("200 aborted", text(cluster.cancel(0, "run-2")));
    packEverywhere();
    assertAnswers("run-1", "done");
    assertAnswers("run-2", "aborted");
    assertAnswers("run-3", "aborted");
    assertAnswers("run-4", "aborted");
    assertEquals(404, cluster.poll(1, "run-5").status());
    assertEquals("201 queued", text(cluster.submit(1, "run-6", List.of("run-1"))));
    assertEquals("201 aborted", text(cluster.submit(0, "run-7", List.of("run-1", "run-4"))));
    assertEquals(422, cluster.submit(1, "run-8", List.of("run-1", "run-5")).status());
    assertTrue(cluster.controllers.get(0).pipelines.graph().isReady("run-6"));
    cluster.commitCompletion("run-6");
    cluster.advance(RECENT_MS);
    packEverywhere();
    assertAnswers("run-6", "done");
    assertAnswers("run-7", "aborted");
  }

  /** Guards against a new leader that does not know of a cancelled job whose tasks still run. */
  @Test
  void recordOfACancelledJobIsKeptWhileTheProgressLogMentionsTheJob() {
    accept("a", "run-1");
    ProgressLogRecord.Builder log = new ProgressLogRecord.Builder(1, "1.1", 8_000);
    TaskRanges none = TaskRanges.of(new BitSet());
    log.add(new ProgressLogRecord.Delta("run-1", 0, 1, none, none, List.of()));
    write(Keys.progressLog(1), log.value());
    assertEquals("200 aborted", text(cluster.cancel(0, "run-1")));
    packEverywhere();
    for (UserApiCluster.ApiController controller : cluster.controllers) {
      assertTrue(controller.specs.get("run-1").isPresent());
    }
    write(Keys.progressLog(257), new ProgressLogRecord.Builder(257, "1.2", 8_000).value());
    packEverywhere();
    assertAnswers("run-1", "aborted");
  }

  /**
   * Guards against a job that is taken for aborted because a load reads a later record of the same
   * job first, and against a load that is repeated for ever because of two such jobs.
   */
  @Test
  void firstRecordsOfJobsWithTwoRecordsCountWhateverTheOrderOfALoad() {
    accept("a", "run-1");
    accept("y", "run-2");
    accept("z", "run-3", "run-2");
    accept("b", "run-2", "run-1");
    accept("c", "run-3", "run-1");
    accept("d", "run-4", "run-3");
    accept("e", "run-5", "run-1");
    accept("x", "run-6", "run-1");
    accept("f", "run-6", "run-2", "run-1");
    assertEquals("200 aborted", text(cluster.cancel(0, "run-1")));
    cluster.restart(1);
    cluster.advance(5_000);
    Map<String, String> states =
        Map.of("run-2", "queued", "run-3", "queued", "run-4", "queued", "run-5", "aborted");
    for (int node = 0; node < CONTROLLERS; node++) {
      for (Map.Entry<String, String> job : states.entrySet()) {
        assertEquals(
            "200 " + job.getValue(),
            text(cluster.poll(node, job.getKey())),
            job.getKey() + " at " + node);
      }
      assertEquals("200 aborted", text(cluster.poll(node, "run-6")));
    }
  }
}
