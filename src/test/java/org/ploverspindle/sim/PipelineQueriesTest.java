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
import org.ploverspindle.state.JobRecord;
import org.ploverspindle.state.Keys;
import org.ploverspindle.state.StateStore.Change;
import org.ploverspindle.state.StateStore.Transaction;

/**
 * Submissions, polls and cancellations of jobs with dependencies, sent to several controllers.
 * Guards against answers that contradict an earlier answer of another controller.
 */
class PipelineQueriesTest {
  private static final Settings.StateLimits LIMITS = new Settings.StateLimits(200, 60, 8, 12);

  private final UserApiCluster cluster = new UserApiCluster(1, 2, LIMITS);

  private static void assertAnswer(int status, String state, UserApiCluster.Answer answer) {
    assertEquals(status + " " + state, answer.status() + " " + answer.state());
  }

  private UserApiCluster.Answer submitBody(int controller, ObjectNode body) {
    return cluster.awaitAnswer(
        then ->
            cluster
                .controllers
                .get(controller)
                .requests
                .submit(Cbor.write(body), cluster.answerHandler(then)));
  }

  @ParameterizedTest
  @ValueSource(strings = {"absent", "null", "[]"})
  void submissionWithoutDependenciesStoresNoDependencyField(String emptyList) throws Exception {
    ObjectNode body = UserApiCluster.body("run-1", List.of());
    if (!emptyList.equals("absent")) {
      body.set("awaits", new ObjectMapper().readTree(emptyList));
    }
    assertAnswer(201, "queued", submitBody(0, body));
    cluster.advance(1_000);
    JsonNode stored = cluster.controllers.get(1).specs.get("run-1").orElseThrow().value();
    assertFalse(stored.has("awaits") || stored.has("awaits_in"));
    assertFalse(cluster.controllers.get(1).pipelines.graph().hasDependencies("run-1"));
  }

  @ParameterizedTest
  @ValueSource(strings = {"\"run-1\"", "{\"run-1\":1}", "[7]", "[\"Run-1\"]", "[\"run-1\",null]"})
  void malformedDependencyListGets400UnlessTheJobIsAlreadyAccepted(String dependencies)
      throws Exception {
    assertAnswer(201, "queued", cluster.submit(0, "run-1", List.of()));
    ObjectNode body = UserApiCluster.body("run-2", List.of());
    body.set("awaits", new ObjectMapper().readTree(dependencies));
    assertEquals(400, submitBody(0, body).status());
    body.put("uid", "run-1");
    assertAnswer(200, "queued", submitBody(1, body));
  }

  @Test
  void jobIsAcceptedOnlyAfterItsDependencies() {
    assertEquals(422, cluster.submit(0, "run-2", List.of("run-1")).status());
    assertEquals(422, cluster.submit(0, "run-2", List.of("run-2")).status(), "own uid");
    assertAnswer(201, "queued", cluster.submit(0, "run-1", List.of()));
    assertFalse(cluster.controllers.get(1).specs.get("run-1").isPresent(), "its replica lags");
    assertAnswer(201, "queued", cluster.submit(1, "run-2", List.of("run-1", "run-1")));
    assertEquals(422, cluster.submit(1, "run-3", List.of("run-1", "run-9")).status());
    cluster.advance(1_000);
    assertEquals(
        List.of("run-1"),
        cluster.controllers.get(0).pipelines.graph().unfinishedDependenciesOf("run-2"));
    assertAnswer(200, "queued", cluster.poll(0, "run-2"));
    assertAnswer(200, "queued", cluster.submit(0, "run-2", List.of("run-9")));
    assertAnswer(200, "queued", cluster.submit(1, "run-2", List.of("run-2")));
  }

  @Test
  void jobIsAcceptedWithin40MsWhenTheReplicaShowsItsDependencies() {
    cluster.submit(0, "run-1", List.of());
    cluster.advance(1_000);
    UserApiCluster.Answer answer = cluster.submit(1, "run-2", List.of("run-1"));
    assertEquals(201, answer.status());
    assertTrue(answer.tookMs() < 40, "took " + answer.tookMs() + " ms");
  }

  @Test
  void unknownDependencyGets503WhileTheReplicaCannotBeRefreshed() {
    UserApiCluster.ApiController partitioned = cluster.controllers.get(1);
    partitioned.partitioned = true;
    cluster.submit(0, "run-1", List.of());
    UserApiCluster.Answer first = cluster.submit(1, "run-2", List.of("run-1"));
    assertEquals(503, first.status(), "its replica may lag");
    assertTrue(first.tookMs() <= 1_400, "took " + first.tookMs() + " ms");
    cluster.advance(5_000);
    assertEquals(503, cluster.submit(1, "run-2", List.of("run-9")).status());
    assertEquals(0, cluster.submit(1, "run-2", List.of("run-2")).tookMs(), "ms for its own uid");
    partitioned.partitioned = false;
    cluster.advance(3_000);
    assertAnswer(201, "queued", cluster.submit(1, "run-2", List.of("run-1")));
  }

  @Test
  void dependencyOnAServiceIsRefused() {
    ObjectNode service = UserApiCluster.body("run-1", List.of());
    service.put("shape", "daemon").put("expected_s", 0.0);
    assertAnswer(201, "queued", submitBody(0, service));
    assertEquals(422, cluster.submit(1, "run-2", List.of("run-1")).status());
    cluster.advance(1_000);
    assertEquals(422, cluster.submit(1, "run-2", List.of("run-1")).status());
    assertAnswer(201, "queued", cluster.submit(1, "run-3", List.of()));
  }

  private static String uid(int i) {
    return "run-" + i;
  }

  /** Submits a chain of jobs, each to the controller that did not get the job before it. */
  private void submitChain(int length) {
    for (int i = 0; i < length; i++) {
      List<String> dependencies = i == 0 ? List.of() : List.of(uid(i - 1));
      assertAnswer(201, "queued", cluster.submit(i % 2, uid(i), dependencies));
    }
  }

  @Test
  void cancelledPipelineIsAbortedInTheNextAnswerOfEveryController() {
    submitChain(30);
    assertAnswer(200, "aborted", cluster.cancel(0, uid(0)));
    assertAnswer(200, "aborted", cluster.poll(1, uid(29)));
    assertAnswer(200, "aborted", cluster.poll(0, uid(1)));
    int changesBefore = cluster.changeCount;
    assertAnswer(200, "aborted", cluster.cancel(1, uid(17)));
    assertAnswer(200, "aborted", cluster.submit(0, uid(8), List.of()));
    assertEquals(changesBefore, cluster.changeCount, "aborted jobs need no further write");
    assertAnswer(201, "aborted", cluster.submit(1, "run-100", List.of(uid(29))));
    assertAnswer(200, "aborted", cluster.poll(0, "run-100"));
  }

  @ParameterizedTest
  @CsvSource({"0,1", "1,1", "3,1", "5,1", "8,1", "12,1", "0,20", "3,20", "8,20", "200,20"})
  void jobThatDependsOnAnAbortedJobIsAcceptedAndAborted(long laterMs, int width) {
    submitChain(5);
    List<String> dependencies = new ArrayList<>(List.of(uid(4)));
    for (int i = 100; i < 99 + width; i++) {
      assertAnswer(201, "queued", cluster.submit(0, uid(i), List.of()));
      dependencies.add(uid(i));
    }
    cluster.advance(1_000);
    List<UserApiCluster.Answer> cancellationAnswers = new ArrayList<>();
    cluster.cancel(0, uid(0), cancellationAnswers::add);
    // A read barrier precedes the cancellation and may take as long as the read interval.
    while (cluster.writtenKeys.stream().noneMatch(k -> k.startsWith(Keys.CANCELLATIONS))) {
      cluster.advance(1);
    }
    cluster.advance(laterMs);
    UserApiCluster.Answer submitted = cluster.submit(1, "run-50", dependencies);
    assertAnswer(201, "aborted", submitted);
    assertEquals(
        List.of(200), cancellationAnswers.stream().map(UserApiCluster.Answer::status).toList());
    assertAnswer(200, "aborted", cluster.poll(0, "run-50"));
    assertAnswer(200, "aborted", cluster.poll(1, "run-50"));
  }

  @ParameterizedTest
  @ValueSource(ints = {1, 20})
  void retryAtALaggingControllerIsNotOlderThanAnEarlierAnswer(int width) {
    List<String> dependencies = new ArrayList<>();
    for (int i = 0; i < width; i++) {
      dependencies.add(uid(i));
      cluster.submit(0, uid(i), List.of());
    }
    cluster.advance(1_000);
    cluster.controllers.get(1).partitioned = true;
    assertAnswer(201, "queued", cluster.submit(0, "run-50", dependencies));
    assertAnswer(200, "aborted", cluster.cancel(0, uid(0)));
    assertAnswer(200, "aborted", cluster.poll(0, "run-50"));
    assertFalse(cluster.controllers.get(1).specs.get("run-50").isPresent(), "it lags");
    cluster.controllers.get(1).partitioned = false;
    UserApiCluster.Answer retry = cluster.submit(1, "run-50", dependencies);
    assertEquals("aborted", retry.state());
  }

  @Test
  void cancellationAfterCompletionLeavesDependentsQueued() {
    submitChain(3);
    cluster.commitCompletion(uid(0));
    assertAnswer(200, "done", cluster.cancel(1, uid(0)));
    assertAnswer(200, "queued", cluster.poll(0, uid(1)));
    assertTrue(cluster.controllers.get(0).pipelines.graph().isReady(uid(1)));
    assertFalse(cluster.controllers.get(0).pipelines.graph().isReady(uid(2)));
    assertTrue(cluster.controllers.get(0).pipelines.readyWallMs(uid(1)).isPresent());
    cluster.commitCompletion(uid(1));
    assertAnswer(200, "aborted", cluster.cancel(0, uid(2)));
    assertAnswer(200, "done", cluster.poll(1, uid(1)));
  }

  @Test
  void pollAnswersAbortedDuringAStateServiceOutage() {
    submitChain(6);
    cluster.cancel(0, uid(0));
    assertAnswer(200, "aborted", cluster.poll(1, uid(5)));
    cluster.state.setOutage(true);
    cluster.advance(10_000);
    assertAnswer(200, "aborted", cluster.poll(1, uid(3)));
    cluster.state.setOutage(false);
    cluster.restart(0);
    cluster.advance(3_000);
    assertAnswer(200, "aborted", cluster.poll(0, uid(5)));
  }

  @Test
  void outageRightAfterACancellationGives503UntilItEnds() {
    submitChain(6);
    cluster.advance(1_000);
    assertAnswer(200, "aborted", cluster.cancel(0, uid(0)));
    cluster.state.setOutage(true);
    for (int i = 0; i < 12; i++) {
      assertEquals(503, cluster.poll(i % 2, uid(1 + i % 5)).status());
      assertEquals(503, cluster.submit(i % 2, uid(1 + i % 5), List.of(uid(0))).status());
      cluster.advance(300);
    }
    cluster.state.setOutage(false);
    cluster.advance(1_000);
    for (int i = 1; i < 6; i++) {
      assertAnswer(200, "aborted", cluster.poll(i % 2, uid(i)));
    }
  }

  @Test
  void statusNamesUnfinishedDependencies() {
    submitChain(3);
    cluster.submit(0, "run-50", List.of(uid(0), uid(2)));
    cluster.advance(1_000);
    assertEquals(
        "run-50 is queued and awaits 2 of 2 jobs: run-0 (queued), run-2 (queued, awaits 1)",
        cluster.controllers.get(1).requests.explain("run-50"));
    assertEquals(3, cluster.controllers.get(1).pipelines.blockedJobs());
    cluster.commitCompletion(uid(0));
    cluster.advance(1_000);
    assertEquals(
        "run-50 is queued and awaits 1 of 2 jobs: run-2 (queued, awaits 1)",
        cluster.controllers.get(1).requests.explain("run-50"));
    assertEquals(
        "run-1 is queued and awaits nothing", cluster.controllers.get(1).requests.explain(uid(1)));
    assertEquals("run-7 is not known here", cluster.controllers.get(1).requests.explain(uid(7)));
  }

  @Test
  void firstWrittenJobRecordDeterminesTheDependencies() {
    for (String keyAndDependency : List.of("z 1", "a 2")) {
      ObjectNode jobs = Cbor.map();
      String dependency = uid(keyAndDependency.charAt(2) - '0');
      jobs.set(
          "run-7", new JobRecord(UserApiCluster.job("run-7", List.of(dependency)), 1, 20).encode());
      Change put = new Change.Put(Keys.jobBatch(keyAndDependency.substring(0, 1)), jobs);
      cluster.commitAndCheck(new Transaction(List.of(), List.of(put)));
    }
    cluster.restart(0);
    cluster.advance(3_000);
    for (UserApiCluster.ApiController node : cluster.controllers) {
      assertEquals(List.of(uid(1)), node.pipelines.graph().dependenciesOf("run-7"));
    }
  }
}
