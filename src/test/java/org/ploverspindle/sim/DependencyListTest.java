package org.ploverspindle.sim;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.ploverspindle.net.Cbor;
import org.ploverspindle.settings.Settings;
import org.ploverspindle.state.DependenciesRecord;
import org.ploverspindle.state.JobRecord;
import org.ploverspindle.state.Keys;
import org.ploverspindle.state.StateStore.Change;
import org.ploverspindle.state.StateStore.Transaction;
import org.ploverspindle.state.StateStore.TransactionResult;

/** Lists of dependencies that are stored apart from the record of their job. */
class DependencyListTest {
  private static final Settings.StateLimits LIMITS = new Settings.StateLimits(200, 60, 8, 12);
  private static final Settings.StateLimits LOWEST = new Settings.StateLimits(60, 20, 2, 4);

  /** The number of seeds that are run with 30 % of the responses lost. */
  private static final int HEAVY_LOSS_SEEDS = 20;

  private final UserApiCluster cluster = new UserApiCluster(1, 2, LIMITS);

  private static String uid(int i) {
    return "run-" + i;
  }

  private static void assertAnswer(int status, String state, UserApiCluster.Answer answer) {
    assertEquals(status + " " + state, answer.status() + " " + answer.state());
  }

  /** Stores accepted jobs in records that fit a value limit of 2 KiB, and returns their uids. */
  private static List<String> preloadAcceptedJobs(UserApiCluster cluster, int count) {
    List<String> uids = new ArrayList<>();
    ObjectNode batch = Cbor.map();
    for (int i = 0; i < count; i++) {
      String uid = "a-" + (1_000 + i);
      uids.add(uid);
      batch.set(uid, new JobRecord(UserApiCluster.job(uid, List.of()), 1, 20).encode());
      if (i + 1 == count || Cbor.jsonSize(batch) > 1_500) {
        Change put = new Change.Put(Keys.jobBatch("old-" + i), batch.deepCopy());
        while (!(cluster.commitAndCheck(new Transaction(List.of(), List.of(put)))
            instanceof TransactionResult.Committed)) {
          cluster.advance(200);
        }
        batch.removeAll();
      }
    }
    cluster.advance(2_000);
    return uids;
  }

  private static long storedListParts(UserApiCluster cluster) {
    return cluster.writtenKeys.stream().filter(k -> k.startsWith(Keys.DEPENDENCIES)).count();
  }

  /** Submits at the controllers in turn until accepted; retries one second after each 503. */
  private static UserApiCluster.Answer submitWithRetries(
      UserApiCluster cluster, String uid, List<String> dependencies) {
    UserApiCluster.Answer answer = new UserApiCluster.Answer(0, "", 0);
    for (int i = 0; i < 12 && answer.status() != 201 && answer.status() != 200; i++) {
      answer = cluster.submit(i % cluster.controllers.size(), uid, dependencies);
      assertTrue(answer.tookMs() < 5_000, "answered after " + answer.tookMs() + " ms");
      assertTrue(answer.status() == 503 || answer.status() < 300, "" + answer);
      cluster.advance(answer.status() == 503 ? 1_000 : 0);
    }
    return answer;
  }

  @ParameterizedTest
  @CsvSource({"0.0,1", "0.15,2", "0.15,3"})
  void longestDependencyListIsStoredUnderTheLowestStateLimits(double lossShare, long seed) {
    assertTrue(storesLongestDependencyList(lossShare, seed), "not accepted after 12 submissions");
  }

  /**
   * With 30 % of the responses lost, how many submissions a user needs depends on the draws of the
   * seed. At least half of the users must be accepted, and no list may be lost or written twice.
   */
  @Test
  void longestDependencyListIsStoredForHalfOfTheUsersWhileManyResponsesAreLost() {
    int accepted = 0;
    for (long seed = 4; seed < 4 + HEAVY_LOSS_SEEDS; seed++) {
      accepted += storesLongestDependencyList(0.3, seed) ? 1 : 0;
    }
    assertTrue(accepted >= HEAVY_LOSS_SEEDS / 2, accepted + " of " + HEAVY_LOSS_SEEDS);
  }

  /**
   * Submits a job with the longest list, and checks how the list is stored and read.
   *
   * @return whether the job was accepted while responses were lost; otherwise it must be accepted
   *     afterwards
   */
  private static boolean storesLongestDependencyList(double lossShare, long seed) {
    UserApiCluster lowLimitCluster = new UserApiCluster(seed, 2, LOWEST);
    List<String> dependencies = preloadAcceptedJobs(lowLimitCluster, 8_500);
    ObjectNode body = UserApiCluster.body("run-1", dependencies);
    int requestBytes = Cbor.write(body).length;
    assertTrue(
        requestBytes > 58_000 && requestBytes <= 64 * 1024, "request bytes: " + requestBytes);
    // The draws don't depend on how many requests were sent before.
    lowLimitCluster.random.setSeed(seed);
    lowLimitCluster.lossShare = lossShare;
    int changesBefore = lowLimitCluster.changeCount;
    UserApiCluster.Answer answer = submitWithRetries(lowLimitCluster, "run-1", dependencies);
    boolean accepted = answer.status() == 201 || answer.status() == 200;
    lowLimitCluster.lossShare = 0;
    if (!accepted) {
      answer = submitWithRetries(lowLimitCluster, "run-1", dependencies);
      assertTrue(answer.status() == 201 || answer.status() == 200, "" + answer);
    }
    assertEquals("queued", answer.state());
    lowLimitCluster.advance(20_000);
    long parts = storedListParts(lowLimitCluster);
    assertTrue(parts > 25 && parts < 45, parts + " parts, expected 26 to 44");
    assertTrue(
        lowLimitCluster.changeCount - changesBefore <= parts + 3, "some part is written twice");
    lowLimitCluster.restart(0);
    lowLimitCluster.advance(5_000);
    for (UserApiCluster.ApiController node : lowLimitCluster.controllers) {
      assertEquals(dependencies, node.pipelines.graph().dependenciesOf("run-1"));
      assertFalse(node.pipelines.graph().isReady("run-1"));
    }
    assertAnswer(201, "queued", lowLimitCluster.submit(0, "run-2", List.of("run-1")));
    assertAnswer(200, "aborted", lowLimitCluster.cancel(1, dependencies.get(8_000)));
    assertAnswer(200, "aborted", lowLimitCluster.poll(0, "run-2"));
    return accepted;
  }

  @Test
  void longDependencyListDoesNotDelayOtherSubmissions() {
    UserApiCluster lowLimitCluster = new UserApiCluster(9, 2, LOWEST);
    List<String> dependencies = preloadAcceptedJobs(lowLimitCluster, 8_500);
    lowLimitCluster.submit(0, "run-1", dependencies, h -> {});
    for (int i = 2; i < 12; i++) {
      UserApiCluster.Answer answer = lowLimitCluster.submit(0, uid(i), List.of());
      assertEquals(201, answer.status());
      assertTrue(answer.tookMs() < 400, answer.tookMs() + " ms to answer");
      lowLimitCluster.advance(300);
    }
  }

  @Test
  void jobReadBeforeItsDependencyListIsNeitherReadyNorAborted() {
    List<String> dependencies = preloadAcceptedJobs(cluster, 8_500);
    DependenciesRecord list =
        DependenciesRecord.split("run-1", dependencies, LIMITS.maxValueBytes());
    assertTrue(list.parts().size() > 5);
    cluster.restart(0);
    UserApiCluster.ApiController loading = cluster.controllers.get(0);
    while (loading.specs.uids().isEmpty()) {
      cluster.advance(1);
    }
    // The restarted replica has read the first page of jobs. It reads the job below with their last
    // page, and the list only afterwards.
    for (int i = 0; i < list.parts().size(); i++) {
      Change part = new Change.Put(list.key(i), list.parts().get(i));
      cluster.commitAndCheck(new Transaction(List.of(), List.of(part)));
    }
    ObjectNode job = Cbor.map();
    job.set("run-1", new JobRecord(UserApiCluster.job("run-1", List.of()), 1, 20).encode(list));
    cluster.commitAndCheck(
        new Transaction(List.of(), List.of(new Change.Put(Keys.jobBatch("zz"), job))));
    int checksBeforeList = 0;
    for (int i = 0; i < 2_000; i++) {
      cluster.advance(1);
      boolean listRead = !loading.pipelines.graph().dependenciesOf("run-1").isEmpty();
      if (loading.specs.get("run-1").isPresent() && !listRead) {
        checksBeforeList++;
        assertTrue(loading.pipelines.graph().hasDependencies("run-1"));
        assertFalse(loading.pipelines.graph().isReady("run-1"));
        assertFalse(loading.pipelines.graph().isAborted("run-1"));
        assertEquals(1, loading.pipelines.blockedJobs());
      }
    }
    assertTrue(checksBeforeList > 0, "the job was never read before its dependency list");
    assertEquals(dependencies, loading.pipelines.graph().dependenciesOf("run-1"));
  }
}
