package org.ploverspindle.sim;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.ploverspindle.net.Cbor;
import org.ploverspindle.settings.Settings;
import org.ploverspindle.state.DependenciesRecord;
import org.ploverspindle.state.JobRecord;
import org.ploverspindle.state.Keys;
import org.ploverspindle.state.StateStore.Change;
import org.ploverspindle.state.StateStore.Transaction;
import org.ploverspindle.state.StateStore.TransactionResult;

/** What users of pipelines are told, at several nodes. */
class PipelineQueriesTest {
  private static final Settings.StateLimits LIMITS = new Settings.StateLimits(200, 60, 8, 12);
  private static final Settings.StateLimits LOWEST = new Settings.StateLimits(60, 20, 2, 4);

  private final UserApiCluster doors = new UserApiCluster(1, 2, LIMITS);

  private static void assertHeard(int status, String state, UserApiCluster.Heard heard) {
    assertEquals(status + " " + state, heard.status() + " " + heard.state());
  }

  private UserApiCluster.Heard submitRaw(int node, ObjectNode body) {
    return doors.wait(
        then -> doors.nodes.get(node).requests.submit(Cbor.write(body), doors.heard(then)));
  }

  @ParameterizedTest
  @ValueSource(strings = {"absent", "null", "[]"})
  void noneIsAwaitedAndNothingNewIsStored(String none) throws Exception {
    ObjectNode body = UserApiCluster.body("run-1", List.of());
    if (!none.equals("absent")) {
      body.set("awaits", new ObjectMapper().readTree(none));
    }
    assertHeard(201, "queued", submitRaw(0, body));
    doors.pass(1_000);
    JsonNode stored = doors.nodes.get(1).specs.get("run-1").orElseThrow().value();
    assertFalse(stored.has("awaits") || stored.has("awaits_in"));
    assertFalse(doors.nodes.get(1).pipelines.graph().hasDependencies("run-1"));
  }

  @ParameterizedTest
  @ValueSource(strings = {"\"run-1\"", "{\"run-1\":1}", "[7]", "[\"Run-1\"]", "[\"run-1\",null]"})
  void whatIsNoListOfIdsIsMalformedUnlessTheJobIsKnown(String awaits) throws Exception {
    assertHeard(201, "queued", doors.submit(0, "run-1", List.of()));
    ObjectNode body = UserApiCluster.body("run-2", List.of());
    body.set("awaits", new ObjectMapper().readTree(awaits));
    assertEquals(400, submitRaw(0, body).status());
    body.put("uid", "run-1");
    assertHeard(200, "queued", submitRaw(1, body));
  }

  @Test
  void aJobIsAcceptedOnlyAfterThoseThatItAwaits() {
    assertEquals(422, doors.submit(0, "run-2", List.of("run-1")).status());
    assertEquals(422, doors.submit(0, "run-2", List.of("run-2")).status(), "itself");
    assertHeard(201, "queued", doors.submit(0, "run-1", List.of()));
    assertFalse(doors.nodes.get(1).specs.get("run-1").isPresent(), "the other's copy lags");
    assertHeard(201, "queued", doors.submit(1, "run-2", List.of("run-1", "run-1")));
    assertEquals(422, doors.submit(1, "run-3", List.of("run-1", "run-9")).status());
    doors.pass(1_000);
    assertEquals(
        List.of("run-1"), doors.nodes.get(0).pipelines.graph().unfinishedDependenciesOf("run-2"));
    assertHeard(200, "queued", doors.poll(0, "run-2"));
    assertHeard(200, "queued", doors.submit(0, "run-2", List.of("run-9")));
    assertHeard(200, "queued", doors.submit(1, "run-2", List.of("run-2")));
  }

  @Test
  void acceptanceIsAtOnceWhereTheCopyShowsThoseAwaited() {
    doors.submit(0, "run-1", List.of());
    doors.pass(1_000);
    UserApiCluster.Heard heard = doors.submit(1, "run-2", List.of("run-1"));
    assertEquals(201, heard.status());
    assertTrue(heard.tookMs() < 40, "after " + heard.tookMs() + " ms");
  }

  @Test
  void withoutAFreshReadNothingIsRefused() {
    UserApiCluster.Node cut = doors.nodes.get(1);
    cut.cut = true;
    doors.submit(0, "run-1", List.of());
    UserApiCluster.Heard first = doors.submit(1, "run-2", List.of("run-1"));
    assertEquals(503, first.status(), "the copy may lag");
    assertTrue(first.tookMs() <= 1_400, "after " + first.tookMs() + " ms");
    doors.pass(5_000);
    assertEquals(503, doors.submit(1, "run-2", List.of("run-9")).status());
    assertEquals(0, doors.submit(1, "run-2", List.of("run-2")).tookMs(), "at once");
    cut.cut = false;
    doors.pass(3_000);
    assertHeard(201, "queued", doors.submit(1, "run-2", List.of("run-1")));
  }

  @Test
  void aServiceIsNeverDoneAndIsNotAwaited() {
    ObjectNode service = UserApiCluster.body("run-1", List.of());
    service.put("shape", "daemon").put("expected_s", 0.0);
    assertHeard(201, "queued", submitRaw(0, service));
    assertEquals(422, doors.submit(1, "run-2", List.of("run-1")).status());
    doors.pass(1_000);
    assertEquals(422, doors.submit(1, "run-2", List.of("run-1")).status());
    assertHeard(201, "queued", doors.submit(1, "run-3", List.of()));
  }

  private static String uid(int i) {
    return "run-" + i;
  }

  /** Each in turn at the node that the last was not sent to. */
  private void chain(int length) {
    for (int i = 0; i < length; i++) {
      List<String> awaits = i == 0 ? List.of() : List.of(uid(i - 1));
      assertHeard(201, "queued", doors.submit(i % 2, uid(i), awaits));
    }
  }

  @Test
  void aCancellationIsTrueOfTheWholePipelineAtTheNextQuestionAnywhere() {
    chain(30);
    assertHeard(200, "aborted", doors.withdraw(0, uid(0)));
    assertHeard(200, "aborted", doors.poll(1, uid(29)));
    assertHeard(200, "aborted", doors.poll(0, uid(1)));
    int before = doors.changes;
    assertHeard(200, "aborted", doors.withdraw(1, uid(17)));
    assertHeard(200, "aborted", doors.submit(0, uid(8), List.of()));
    assertEquals(before, doors.changes, "nothing has to be written");
    assertHeard(201, "aborted", doors.submit(1, "run-100", List.of(uid(29))));
    assertHeard(200, "aborted", doors.poll(0, "run-100"));
  }

  @ParameterizedTest
  @CsvSource({"0,1", "1,1", "3,1", "5,1", "8,1", "12,1", "0,20", "3,20", "8,20", "200,20"})
  void aJobThatNamesACancelledOneIsAcceptedAndAborted(long laterMs, int width) {
    chain(5);
    List<String> awaits = new ArrayList<>(List.of(uid(4)));
    for (int i = 100; i < 99 + width; i++) {
      assertHeard(201, "queued", doors.submit(0, uid(i), List.of()));
      awaits.add(uid(i));
    }
    doors.pass(1_000);
    List<UserApiCluster.Heard> withdrawn = new ArrayList<>();
    doors.withdraw(0, uid(0), withdrawn::add);
    // The barrier before the cancellation may take as long as the reads are apart.
    while (doors.written.stream().noneMatch(k -> k.startsWith(Keys.CANCELLATIONS))) {
      doors.pass(1);
    }
    doors.pass(laterMs);
    UserApiCluster.Heard submitted = doors.submit(1, "run-50", awaits);
    assertHeard(201, "aborted", submitted);
    assertEquals(List.of(200), withdrawn.stream().map(UserApiCluster.Heard::status).toList());
    assertHeard(200, "aborted", doors.poll(0, "run-50"));
    assertHeard(200, "aborted", doors.poll(1, "run-50"));
  }

  @ParameterizedTest
  @ValueSource(ints = {1, 20})
  void aRepeatAtANodeThatLagsIsNoOlderThanWhatAnotherTold(int width) {
    List<String> awaits = new ArrayList<>();
    for (int i = 0; i < width; i++) {
      awaits.add(uid(i));
      doors.submit(0, uid(i), List.of());
    }
    doors.pass(1_000);
    doors.nodes.get(1).cut = true;
    assertHeard(201, "queued", doors.submit(0, "run-50", awaits));
    assertHeard(200, "aborted", doors.withdraw(0, uid(0)));
    assertHeard(200, "aborted", doors.poll(0, "run-50"));
    assertFalse(doors.nodes.get(1).specs.get("run-50").isPresent(), "it lags");
    doors.nodes.get(1).cut = false;
    UserApiCluster.Heard repeat = doors.submit(1, "run-50", awaits);
    assertEquals("aborted", repeat.state());
  }

  @Test
  void aCancellationThatComesTooLateLetsTheRestGoOn() {
    chain(3);
    doors.done(uid(0));
    assertHeard(200, "done", doors.withdraw(1, uid(0)));
    assertHeard(200, "queued", doors.poll(0, uid(1)));
    assertTrue(doors.nodes.get(0).pipelines.graph().isReady(uid(1)));
    assertFalse(doors.nodes.get(0).pipelines.graph().isReady(uid(2)));
    assertTrue(doors.nodes.get(0).pipelines.readyWallMs(uid(1)).isPresent());
    doors.done(uid(1));
    assertHeard(200, "aborted", doors.withdraw(0, uid(2)));
    assertHeard(200, "done", doors.poll(1, uid(1)));
  }

  @Test
  void whatIsAbortedIsSaidAlsoWhileTheStateServiceIsOut() {
    chain(6);
    doors.withdraw(0, uid(0));
    assertHeard(200, "aborted", doors.poll(1, uid(5)));
    doors.state.setOutage(true);
    doors.pass(10_000);
    assertHeard(200, "aborted", doors.poll(1, uid(3)));
    doors.state.setOutage(false);
    doors.restart(0);
    doors.pass(3_000);
    assertHeard(200, "aborted", doors.poll(0, uid(5)));
  }

  @Test
  void anOutageRightAfterACancellationLetsNobodySayOtherwise() {
    chain(6);
    doors.pass(1_000);
    assertHeard(200, "aborted", doors.withdraw(0, uid(0)));
    doors.state.setOutage(true);
    for (int i = 0; i < 12; i++) {
      assertEquals(503, doors.poll(i % 2, uid(1 + i % 5)).status());
      assertEquals(503, doors.submit(i % 2, uid(1 + i % 5), List.of(uid(0))).status());
      doors.pass(300);
    }
    doors.state.setOutage(false);
    doors.pass(1_000);
    for (int i = 1; i < 6; i++) {
      assertHeard(200, "aborted", doors.poll(i % 2, uid(i)));
    }
  }

  @Test
  void statusSaysWhatAJobAwaits() {
    chain(3);
    doors.submit(0, "run-50", List.of(uid(0), uid(2)));
    doors.pass(1_000);
    assertEquals(
        "run-50 is queued and awaits 2 of 2 jobs: run-0 (queued), run-2 (queued, awaits 1)",
        doors.nodes.get(1).requests.explain("run-50"));
    assertEquals(3, doors.nodes.get(1).pipelines.blockedJobs());
    doors.done(uid(0));
    doors.pass(1_000);
    assertEquals(
        "run-50 is queued and awaits 1 of 2 jobs: run-2 (queued, awaits 1)",
        doors.nodes.get(1).requests.explain("run-50"));
    assertEquals("run-1 is queued and awaits nothing", doors.nodes.get(1).requests.explain(uid(1)));
    assertEquals("run-7 is not known here", doors.nodes.get(1).requests.explain(uid(7)));
  }

  /** Jobs accepted long ago, as many in a record as fit. */
  private static List<String> accepted(UserApiCluster doors, int count) {
    List<String> uids = new ArrayList<>();
    ObjectNode batch = Cbor.map();
    for (int i = 0; i < count; i++) {
      String uid = "a-" + (1_000 + i);
      uids.add(uid);
      batch.set(uid, new JobRecord(UserApiCluster.job(uid, List.of()), 1, 20).encode());
      if (i + 1 == count || Cbor.jsonSize(batch) > 1_500) {
        Change put = new Change.Put(Keys.jobBatch("old-" + i), batch.deepCopy());
        while (!(doors.applied(new Transaction(List.of(), List.of(put)))
            instanceof TransactionResult.Committed)) {
          doors.pass(200);
        }
        batch.removeAll();
      }
    }
    doors.pass(2_000);
    return uids;
  }

  private static long parts(UserApiCluster doors) {
    return doors.written.stream().filter(k -> k.startsWith(Keys.DEPENDENCIES)).count();
  }

  /** A user's tries, each at another node, a second after the last was answered. */
  private static UserApiCluster.Heard tryOn(UserApiCluster doors, String uid, List<String> awaits) {
    UserApiCluster.Heard heard = new UserApiCluster.Heard(0, "", 0);
    for (int i = 0; i < 12 && heard.status() != 201 && heard.status() != 200; i++) {
      heard = doors.submit(i % doors.nodes.size(), uid, awaits);
      assertTrue(heard.tookMs() < 5_000, "answered after " + heard.tookMs() + " ms");
      assertTrue(heard.status() == 503 || heard.status() < 300, "" + heard);
      doors.pass(heard.status() == 503 ? 1_000 : 0);
    }
    return heard;
  }

  @ParameterizedTest
  @CsvSource({"0.0,1", "0.15,2", "0.15,3", "0.3,4", "0.3,5"})
  void aListAsLongAsARequestMayBeIsStoredWithinTheLowestLimits(double loss, long seed) {
    UserApiCluster lowest = new UserApiCluster(seed, 2, LOWEST);
    List<String> awaits = accepted(lowest, 8_500);
    ObjectNode body = UserApiCluster.body("run-1", awaits);
    int size = Cbor.write(body).length;
    assertTrue(size > 58_000 && size <= 64 * 1024, "a request of " + size);
    lowest.lossShare = loss;
    int before = lowest.changes;
    UserApiCluster.Heard heard = tryOn(lowest, "run-1", awaits);
    assertTrue(heard.status() == 201 || heard.status() == 200, "" + heard);
    assertEquals("queued", heard.state());
    lowest.lossShare = 0;
    lowest.pass(20_000);
    long parts = parts(lowest);
    assertTrue(parts > 25 && parts < 45, parts + " parts");
    assertTrue(lowest.changes - before <= parts + 3, "no part is written twice");
    lowest.restart(0);
    lowest.pass(5_000);
    for (UserApiCluster.Node node : lowest.nodes) {
      assertEquals(awaits, node.pipelines.graph().dependenciesOf("run-1"));
      assertFalse(node.pipelines.graph().isReady("run-1"));
    }
    assertHeard(201, "queued", lowest.submit(0, "run-2", List.of("run-1")));
    assertHeard(200, "aborted", lowest.withdraw(1, awaits.get(8_000)));
    assertHeard(200, "aborted", lowest.poll(0, "run-2"));
  }

  @Test
  void oneLongListDoesNotHoldUpOtherSubmissions() {
    UserApiCluster lowest = new UserApiCluster(9, 2, LOWEST);
    List<String> awaits = accepted(lowest, 8_500);
    lowest.submit(0, "run-1", awaits, h -> {});
    for (int i = 2; i < 12; i++) {
      UserApiCluster.Heard heard = lowest.submit(0, uid(i), List.of());
      assertEquals(201, heard.status());
      assertTrue(heard.tookMs() < 400, heard.tookMs() + " ms");
      lowest.pass(300);
    }
  }

  @Test
  void aJobThatIsReadBeforeItsListIsNeitherReadyNorAborted() {
    List<String> awaits = accepted(doors, 8_500);
    DependenciesRecord list = DependenciesRecord.split("run-1", awaits, LIMITS.maxValueBytes());
    assertTrue(list.parts().size() > 5);
    doors.restart(0);
    UserApiCluster.Node loading = doors.nodes.get(0);
    while (loading.replica.withPrefix(Keys.PREFIX).isEmpty()) {
      doors.pass(1);
    }
    // Lists were on the first page; jobs of this process are on the last.
    for (int i = 0; i < list.parts().size(); i++) {
      Change part = new Change.Put(list.key(i), list.parts().get(i));
      doors.applied(new Transaction(List.of(), List.of(part)));
    }
    ObjectNode job = Cbor.map();
    job.set("run-1", new JobRecord(UserApiCluster.job("run-1", List.of()), 1, 20).encode(list));
    doors.applied(new Transaction(List.of(), List.of(new Change.Put(Keys.jobBatch("zz"), job))));
    int unread = 0;
    for (int i = 0; i < 2_000; i++) {
      doors.pass(1);
      boolean whole = !loading.pipelines.graph().dependenciesOf("run-1").isEmpty();
      if (loading.specs.get("run-1").isPresent() && !whole) {
        unread++;
        assertTrue(loading.pipelines.graph().hasDependencies("run-1"));
        assertFalse(loading.pipelines.graph().isReady("run-1"));
        assertFalse(loading.pipelines.graph().isAborted("run-1"));
        assertEquals(1, loading.pipelines.blockedJobs());
      }
    }
    assertTrue(unread > 0, "it was read before its list");
    assertEquals(awaits, loading.pipelines.graph().dependenciesOf("run-1"));
  }

  @Test
  void theRecordThatWasWrittenFirstCountsAlsoForItsList() {
    for (String record : List.of("z 1", "a 2")) {
      ObjectNode jobs = Cbor.map();
      String awaited = uid(record.charAt(2) - '0');
      jobs.set(
          "run-7", new JobRecord(UserApiCluster.job("run-7", List.of(awaited)), 1, 20).encode());
      Change put = new Change.Put(Keys.jobBatch(record.substring(0, 1)), jobs);
      doors.applied(new Transaction(List.of(), List.of(put)));
    }
    doors.restart(0);
    doors.pass(3_000);
    for (UserApiCluster.Node node : doors.nodes) {
      assertEquals(List.of(uid(1)), node.pipelines.graph().dependenciesOf("run-7"));
    }
  }
}
