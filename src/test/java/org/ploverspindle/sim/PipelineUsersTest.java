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
 * Users of random pipelines at several nodes, with lost and late messages, nodes that lag, restarts
 * and outages. What they are told is held against a plain model: what is over is derived from all
 * cancellations by walking back along the lists.
 */
class PipelineUsersTest {
  private static final class Users {
    private final UserApiCluster doors;
    private final Random random;
    private final Map<String, List<String>> lists = new LinkedHashMap<>();
    private final Map<String, Long> acceptedMs = new HashMap<>();
    private final Map<String, Long> overMs = new HashMap<>();
    private final Map<String, String> over = new HashMap<>();
    private final Set<String> cancelAsked = new HashSet<>();
    private final List<String> broken = new ArrayList<>();
    private int heard;

    Users(long seed) {
      doors = new UserApiCluster(seed, 3, new Settings.StateLimits(60, 20, 2, 4));
      random = doors.random;
    }

    private int node() {
      return random.nextInt(3);
    }

    private String any() {
      List<String> all = List.copyOf(lists.keySet());
      return all.get(random.nextInt(all.size()));
    }

    private boolean needsOneOf(String uid, Set<String> cancelled) {
      return cancelled.contains(uid)
          || lists.get(uid).stream().anyMatch(d -> needsOneOf(d, cancelled));
    }

    /** Holds an answer against all that was told before its question was asked. */
    private Consumer<UserApiCluster.Heard> told(String uid, boolean submission) {
      long askedMs = doors.clock.nowMs();
      return h -> {
        heard++;
        String what = uid + " is told " + h + " at " + doors.clock.nowMs();
        boolean accepted = acceptedMs.getOrDefault(uid, Long.MAX_VALUE) < askedMs;
        if (h.status() == 200 || h.status() == 201) {
          acceptedMs.putIfAbsent(uid, doors.clock.nowMs());
          if (overMs.getOrDefault(uid, Long.MAX_VALUE) < askedMs
              && !h.state().equals(over.get(uid))) {
            broken.add(what + " after " + over.get(uid));
          }
          if (h.state().equals("aborted") && !needsOneOf(uid, cancelAsked)) {
            broken.add(what + ", and nobody cancelled it");
          }
          if (h.state().equals("done") || h.state().equals("aborted")) {
            over.putIfAbsent(uid, h.state());
            overMs.putIfAbsent(uid, doors.clock.nowMs());
          }
        } else if (h.status() == 422 || h.status() == 400 || accepted && h.status() == 404) {
          broken.add(what);
        } else if (submission && h.status() != 503 && h.status() != 429) {
          broken.add(what);
        }
      };
    }

    private boolean sawBothEnds() {
      return over.containsValue("aborted") && over.containsValue("done");
    }

    private void submitNew() {
      String uid = "run-" + lists.size();
      List<String> accepted = List.copyOf(acceptedMs.keySet());
      int most = random.nextInt(25) == 0 ? 300 : random.nextInt(12) == 0 ? 20 : 3;
      Set<String> awaits = new HashSet<>();
      for (int i = random.nextInt(most + 1); i > 0 && !accepted.isEmpty(); i--) {
        awaits.add(accepted.get(random.nextInt(accepted.size())));
      }
      lists.put(uid, List.copyOf(awaits));
      submit(uid, 0);
    }

    private void submit(String uid, int tries) {
      doors.submit(node(), uid, lists.get(uid), told(uid, true));
      doors.clock.after(
          1_000 + random.nextInt(3_000),
          () -> {
            if (!acceptedMs.containsKey(uid) && tries < 15 || random.nextInt(4) == 0) {
              submit(uid, tries + 1);
            }
          });
    }

    /** Ends a job whose dependencies are done, as a leader does. */
    private void end(String uid, Set<String> keys) {
      if (lists.get(uid).stream().allMatch(d -> keys.contains(Keys.completion(d)))
          && acceptedMs.containsKey(uid)) {
        doors.applied(
            new Transaction(
                List.of(
                    new Condition(Keys.cancellation(uid), 0),
                    new Condition(Keys.completion(uid), 0)),
                List.of(new Change.Put(Keys.completion(uid), org.ploverspindle.net.Cbor.map()))));
      }
    }

    private void act() {
      int what = random.nextInt(100);
      if (what < 35 || lists.isEmpty()) {
        submitNew();
      } else if (what < 70) {
        String uid = any();
        doors.poll(node(), uid, told(uid, false));
      } else if (what < 75) {
        String uid = any();
        if (acceptedMs.containsKey(uid)) {
          cancelAsked.add(uid);
          doors.withdraw(node(), uid, told(uid, false));
        }
      } else if (what < 90) {
        end(any(), doors.written);
      } else if (what < 93) {
        int cut = node();
        doors.nodes.get(cut).cut = true;
        doors.clock.after(random.nextInt(6_000), () -> doors.nodes.get(cut).cut = false);
      } else if (what < 95) {
        doors.restart(node());
      } else if (what == 95) {
        doors.state.setOutage(true);
        doors.clock.after(random.nextInt(4_000), () -> doors.state.setOutage(false));
      } else if (what == 96) {
        doors.lossShare = 0.2 * random.nextDouble();
      }
    }

    private void settle() {
      doors.lossShare = 0;
      doors.pass(10_000);
      doors.state.setOutage(false);
      doors.nodes.forEach(n -> n.cut = false);
      doors.pass(20_000);
      Set<String> cancelled = new HashSet<>();
      lists.keySet().stream()
          .filter(uid -> doors.written.contains(Keys.cancellation(uid)))
          .forEach(cancelled::add);
      for (String uid : lists.keySet()) {
        String state = "queued";
        if (doors.written.contains(Keys.completion(uid))) {
          state = "done";
        } else if (needsOneOf(uid, cancelled)) {
          state = "aborted";
        }
        for (int i = 0; i < 3; i++) {
          UserApiCluster.Heard h = doors.poll(i, uid);
          boolean accepted = acceptedMs.containsKey(uid);
          assertTrue(h.status() == 200 || !accepted && h.status() == 404, uid + " " + h);
          if (h.status() == 200) {
            assertEquals(state, h.state(), uid + " at " + i);
            boolean ready =
                lists.get(uid).stream().allMatch(d -> doors.written.contains(Keys.completion(d)));
            assertEquals(ready, doors.nodes.get(i).pipelines.graph().isReady(uid));
          }
        }
      }
    }
  }

  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13, 14, 15, 16, 17, 18, 19, 20})
  void noNodeTellsUsersWhatIsOlderOrUntrue(long seed) {
    Users users = new Users(seed);
    // Until both ends have come about: what users happen to do depends on when they are answered.
    for (int i = 0; i < 900 || i < 4_000 && !users.sawBothEnds(); i++) {
      users.act();
      users.doors.pass(users.random.nextInt(120));
    }
    users.settle();
    assertEquals(List.of(), users.broken);
    assertTrue(users.heard > 600 && users.over.containsValue("aborted"), users.heard + " answers");
    assertTrue(users.over.containsValue("done"));
  }
}
