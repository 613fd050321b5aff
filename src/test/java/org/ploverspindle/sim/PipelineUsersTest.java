package org.ploverspindle.sim;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.function.Consumer;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.ploverspindle.settings.Settings;
import org.ploverspindle.state.Keys;
import org.ploverspindle.state.StateStore.Change;
import org.ploverspindle.state.StateStore.Condition;
import org.ploverspindle.state.StateStore.Transaction;

/**
 * Users submit, poll and cancel random pipelines at three controllers, with lost and late messages,
 * lagging replicas, restarts and outages. Each answer is compared with a reference model, in which
 * a job is aborted if it is cancelled or depends, directly or not, on a cancelled job. Guards
 * against answers that are older than an earlier one or that no cancellation explains.
 */
class PipelineUsersTest {
  private static final class RandomUsers {
    private final UserApiCluster cluster;
    private final Random random;
    private final Map<String, List<String>> dependencies = new LinkedHashMap<>();
    private final Map<String, Long> acceptedMs = new HashMap<>();
    private final Map<String, Long> finalKnownMs = new HashMap<>();
    private final Map<String, String> finalStates = new HashMap<>();
    private final Set<String> cancellationsRequested = new HashSet<>();
    private final List<String> violations = new ArrayList<>();
    private int answers;

    RandomUsers(long seed) {
      cluster = new UserApiCluster(seed, 3, new Settings.StateLimits(60, 20, 2, 4));
      random = cluster.random;
    }

    private int randomController() {
      return random.nextInt(3);
    }

    private String randomUid() {
      List<String> uids = List.copyOf(dependencies.keySet());
      return uids.get(random.nextInt(uids.size()));
    }

    private boolean isOrDependsOnAnyOf(String uid, Set<String> cancelled) {
      return cancelled.contains(uid)
          || dependencies.get(uid).stream().anyMatch(d -> isOrDependsOnAnyOf(d, cancelled));
    }

    /** Compares an answer with all answers that were received before its request was sent. */
    private Consumer<UserApiCluster.Answer> answerCheck(String uid, boolean submission) {
      long requestedMs = cluster.clock.nowMs();
      return answer -> {
        answers++;
        String description = uid + " is answered " + answer + " at " + cluster.clock.nowMs();
        boolean acceptedBefore = acceptedMs.getOrDefault(uid, Long.MAX_VALUE) < requestedMs;
        if (answer.status() == 200 || answer.status() == 201) {
          acceptedMs.putIfAbsent(uid, cluster.clock.nowMs());
          if (finalKnownMs.getOrDefault(uid, Long.MAX_VALUE) < requestedMs
              && !answer.state().equals(finalStates.get(uid))) {
            violations.add(description + " after the final answer " + finalStates.get(uid));
          }
          if (answer.state().equals("aborted")
              && !isOrDependsOnAnyOf(uid, cancellationsRequested)) {
            violations.add(description + ", but neither it nor a dependency was cancelled");
          }
          if (answer.state().equals("done") || answer.state().equals("aborted")) {
            finalStates.putIfAbsent(uid, answer.state());
            finalKnownMs.putIfAbsent(uid, cluster.clock.nowMs());
          }
        } else if (answer.status() == 422
            || answer.status() == 400
            || acceptedBefore && answer.status() == 404) {
          violations.add(description);
        } else if (submission && answer.status() != 503 && answer.status() != 429) {
          violations.add(description);
        }
      };
    }

    private boolean sawDoneAndAborted() {
      return finalStates.containsValue("aborted") && finalStates.containsValue("done");
    }

    private void submitNew() {
      String uid = "run-" + dependencies.size();
      List<String> acceptedUids = List.copyOf(acceptedMs.keySet());
      int maxDependencies = random.nextInt(25) == 0 ? 300 : random.nextInt(12) == 0 ? 20 : 3;
      Set<String> chosen = new HashSet<>();
      for (int i = random.nextInt(maxDependencies + 1); i > 0 && !acceptedUids.isEmpty(); i--) {
        chosen.add(acceptedUids.get(random.nextInt(acceptedUids.size())));
      }
      dependencies.put(uid, List.copyOf(chosen));
      submit(uid, 0);
    }

    private void submit(String uid, int retries) {
      cluster.submit(randomController(), uid, dependencies.get(uid), answerCheck(uid, true));
      cluster.clock.after(
          1_000 + random.nextInt(3_000),
          () -> {
            if (!acceptedMs.containsKey(uid) && retries < 15 || random.nextInt(4) == 0) {
              submit(uid, retries + 1);
            }
          });
    }

    /** Writes the completion of an accepted job as a leader does, if its dependencies are done. */
    private void complete(String uid, Set<String> writtenKeys) {
      if (dependencies.get(uid).stream().allMatch(d -> writtenKeys.contains(Keys.completion(d)))
          && acceptedMs.containsKey(uid)) {
        cluster.commitAndCheck(
            new Transaction(
                List.of(
                    new Condition(Keys.cancellation(uid), 0),
                    new Condition(Keys.completion(uid), 0)),
                List.of(new Change.Put(Keys.completion(uid), org.ploverspindle.net.Cbor.map()))));
      }
    }

    private void performRandomAction() {
      int draw = random.nextInt(100);
      if (draw < 35 || dependencies.isEmpty()) {
        submitNew();
      } else if (draw < 70) {
        String uid = randomUid();
        cluster.poll(randomController(), uid, answerCheck(uid, false));
      } else if (draw < 75) {
        String uid = randomUid();
        if (acceptedMs.containsKey(uid)) {
          cancellationsRequested.add(uid);
          cluster.cancel(randomController(), uid, answerCheck(uid, false));
        }
      } else if (draw < 90) {
        complete(randomUid(), cluster.writtenKeys);
      } else if (draw < 93) {
        int partitioned = randomController();
        cluster.controllers.get(partitioned).partitioned = true;
        cluster.clock.after(
            random.nextInt(6_000), () -> cluster.controllers.get(partitioned).partitioned = false);
      } else if (draw < 95) {
        cluster.restart(randomController());
      } else if (draw == 95) {
        cluster.state.setOutage(true);
        cluster.clock.after(random.nextInt(4_000), () -> cluster.state.setOutage(false));
      } else if (draw == 96) {
        cluster.lossShare = 0.2 * random.nextDouble();
      }
    }

    private void checkFinalAnswers() {
      cluster.lossShare = 0;
      cluster.advance(10_000);
      cluster.state.setOutage(false);
      cluster.controllers.forEach(n -> n.partitioned = false);
      cluster.advance(20_000);
      Set<String> cancelled = new HashSet<>();
      dependencies.keySet().stream()
          .filter(uid -> cluster.writtenKeys.contains(Keys.cancellation(uid)))
          .forEach(cancelled::add);
      for (String uid : dependencies.keySet()) {
        String expectedState = "queued";
        if (cluster.writtenKeys.contains(Keys.completion(uid))) {
          expectedState = "done";
        } else if (isOrDependsOnAnyOf(uid, cancelled)) {
          expectedState = "aborted";
        }
        for (int i = 0; i < 3; i++) {
          UserApiCluster.Answer answer = cluster.poll(i, uid);
          boolean acceptedBefore = acceptedMs.containsKey(uid);
          assertTrue(
              answer.status() == 200 || !acceptedBefore && answer.status() == 404,
              uid + " " + answer);
          if (answer.status() == 200) {
            assertEquals(expectedState, answer.state(), uid + " at controller " + i);
            boolean expectedReady =
                dependencies.get(uid).stream()
                    .allMatch(d -> cluster.writtenKeys.contains(Keys.completion(d)));
            assertEquals(expectedReady, cluster.controllers.get(i).pipelines.graph().isReady(uid));
          }
        }
      }
    }
  }

  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13, 14, 15, 16, 17, 18, 19, 20})
  void answersOfEveryControllerAgreeWithTheReferenceModel(long seed) {
    RandomUsers users = new RandomUsers(seed);
    // Continues until a done and an aborted job were seen, for at most 4,000 actions: the random
    // actions depend on the times of the answers, so 900 actions may not show both.
    for (int i = 0; i < 900 || i < 4_000 && !users.sawDoneAndAborted(); i++) {
      users.performRandomAction();
      users.cluster.advance(users.random.nextInt(120));
    }
    users.checkFinalAnswers();
    assertEquals(List.of(), users.violations);
    assertTrue(
        users.answers > 600 && users.finalStates.containsValue("aborted"),
        users.answers + " answers, expected more than 600, one of them aborted");
    assertTrue(users.finalStates.containsValue("done"));
  }
}
