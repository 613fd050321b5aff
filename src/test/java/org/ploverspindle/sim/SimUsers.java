package org.ploverspindle.sim;

import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.function.Consumer;
import org.ploverspindle.api.ApiResponse;
import org.ploverspindle.controller.Controller;
import org.ploverspindle.model.JobSpec;

/** Users who submit, ask and cancel at any node; the checker hears every answer. */
final class SimUsers {
  private static final int OK = 200;
  private static final int CREATED = 201;
  private static final int MOST_SUBMISSIONS = 40;
  private static final int MOST_CANCELLATIONS = 30;

  /** A user whose job is accepted may submit it once more, with no further tries. */
  private static final int LAST_TRY = 100;

  private static final int REPEATED_ONE_IN = 6;
  private static final long FIRST_POLL_MS = 1_000;
  private static final int RETRY_LEAST_MS = 2_000;
  private static final int RETRY_SPREAD_MS = 2_000;
  private static final int POLL_MS = 2_500;

  /** Of the users whose job is over, one in so many stops asking at each poll. */
  private static final int STOPS_ONE_IN = 4;

  private static final int AT_ONCE_MS = 200;
  private static final int MOST_HUNG = 8;
  private static final int CLOSE_LOOK_MS = 12;
  private static final int CLOSE_LOOKS = 3;
  private static final int CANCELS_ONE_IN = 6;
  private static final int AFTER_END_MS = 2_500;

  private final SimulatedCluster cluster;
  private final SimClock clock;
  private final Random random;
  private final Map<String, JobSpec> specs;
  private final Set<String> looked = new HashSet<>();
  private final Map<Integer, Integer> answers = new HashMap<>();
  private double cancelAtEnd;
  private boolean closeLooks;
  private int jobCounter;

  /**
   * @param specs what was submitted, which workers know as well
   */
  SimUsers(SimulatedCluster cluster, Map<String, JobSpec> specs) {
    this.cluster = cluster;
    this.clock = cluster.clock;
    this.random = cluster.random;
    this.specs = specs;
  }

  String newUid() {
    return String.format(Locale.ROOT, "run-%06d", jobCounter++);
  }

  /** How often users were answered with this status. */
  int answers(int status) {
    return answers.getOrDefault(status, 0);
  }

  /** A user who submits until an answer is final, then polls until the job is over. */
  void add(JobSpec spec) {
    cluster.checker.submitted(spec);
    specs.put(spec.uid(), spec);
    submit(spec, 0);
  }

  /**
   * That many jobs that run are cancelled, all within a fifth of a second, and up to eight of their
   * machines then hang: their stops wait there, and nothing of them may go on too late.
   *
   * @param hangMs how long the machines hang; 0: none does
   */
  void cancelNow(int count, long hangMs) {
    List<String> running = new ArrayList<>(cluster.checker.running());
    Collections.shuffle(running, random);
    Set<String> hosts = new LinkedHashSet<>();
    for (String uid : running.subList(0, Math.min(count, running.size()))) {
      hosts.addAll(cluster.checker.hostsOf(uid));
      clock.at(random.nextInt(AT_ONCE_MS), () -> cancel(uid, 0));
    }
    if (hangMs > 0) {
      cluster.cloud.workers().stream()
          .filter(worker -> hosts.contains(worker.host()))
          .limit(MOST_HUNG)
          .forEach(worker -> clock.at(random.nextInt(AT_ONCE_MS), () -> worker.hang(hangMs)));
    }
  }

  /**
   * That share of the jobs is cancelled just as the last task ends, or while that is being
   * recorded: done and cancelled exclude each other, whichever comes first.
   */
  void cancelAtEnd(double share) {
    cancelAtEnd = share;
  }

  /**
   * From now on users ask at every node within milliseconds after a job was accepted, ended or was
   * confirmed as cancelled, and repeat the submission, and some cancel: no node may lag behind what
   * another one acknowledged.
   */
  void closeLooks(boolean now) {
    closeLooks = now;
  }

  void lastTaskEnded(String uid) {
    if (cancelAtEnd > 0 && random.nextDouble() < cancelAtEnd) {
      clock.at(random.nextBoolean() ? 0 : random.nextInt(AFTER_END_MS), () -> cancel(uid, 0));
    }
    lookClosely(uid, "ended");
  }

  /** Once for each thing that happens to a job; what these users hear makes nobody look again. */
  private void lookClosely(String uid, String why) {
    if (!closeLooks || !specs.containsKey(uid) || !looked.add(uid + " " + why)) {
      return;
    }
    for (int i = 0; i < cluster.nodes; i++) {
      int to = i;
      for (int again = 0; again < CLOSE_LOOKS; again++) {
        clock.at(random.nextInt(CLOSE_LOOK_MS), () -> askAt(to, uid));
      }
      clock.at(
          random.nextInt(CLOSE_LOOK_MS),
          () -> submitAt(to, uid, SimWireCodec.encode(specs.get(uid))));
    }
    if (random.nextInt(CANCELS_ONE_IN) == 0) {
      clock.at(random.nextInt(CLOSE_LOOK_MS), () -> cancel(uid, 0));
    }
  }

  /** A single question at the node; whatever comes back is checked. */
  void askAt(int node, String uid) {
    toNode(node, c -> c.poll(uid, checked(uid, false, node, answer -> {})));
  }

  /** A single submission at the node; whatever comes back is checked. */
  void submitAt(int node, String uid, byte[] body) {
    Consumer<ApiResponse> then = checked(uid, true, node, answer -> {});
    toNode(node, c -> c.submit(body, then));
  }

  /** A single cancellation at the node; whatever comes back is checked. */
  void cancelAt(int node, String uid, Consumer<ApiResponse> then) {
    Consumer<ApiResponse> checked = checked(uid, false, node, then);
    toNode(node, c -> c.cancel(uid, checked));
  }

  private int anyNode() {
    return random.nextInt(cluster.nodes);
  }

  private void toNode(int node, Consumer<Controller> request) {
    if (!cluster.alive(node)) {
      return;
    }
    SimClock.Process process = cluster.process(node);
    clock.at(
        1 + random.nextInt(5),
        () -> {
          if (!process.dead()) {
            process.schedule(0, () -> request.accept(cluster.controller(node)));
          }
        });
  }

  private Consumer<ApiResponse> checked(
      String uid, boolean submission, int from, Consumer<ApiResponse> then) {
    SimClock.Process process = cluster.process(from);
    long askedMs = clock.nowMs();
    return answer -> {
      if (process.dead()) {
        return;
      }
      String status = SimWireCodec.status(answer);
      cluster.checker.told(uid, answer.status(), status, submission, askedMs);
      answers.merge(answer.status(), 1, Integer::sum);
      then.accept(answer);
      if (isKnown(answer)) {
        lookClosely(uid, status.equals("running") ? "queued" : status);
      }
    };
  }

  private static boolean isKnown(ApiResponse answer) {
    return answer.status() == OK || answer.status() == CREATED;
  }

  private void submit(JobSpec spec, int tries) {
    boolean[] accepted = {false};
    int to = anyNode();
    Consumer<ApiResponse> then =
        answer -> {
          cluster.checker.submissionTold(spec.uid(), answer.status());
          if (isKnown(answer)) {
            accepted[0] = true;
            clock.at(FIRST_POLL_MS, () -> poll(spec.uid()));
          }
        };
    toNode(to, c -> c.submit(SimWireCodec.encode(spec), checked(spec.uid(), true, to, then)));
    clock.at(
        RETRY_LEAST_MS + random.nextInt(RETRY_SPREAD_MS),
        () -> {
          if (!accepted[0] && tries < MOST_SUBMISSIONS) {
            submit(spec, tries + 1);
          } else if (random.nextInt(REPEATED_ONE_IN) == 0) {
            submit(spec, LAST_TRY);
          }
        });
  }

  void poll(String uid) {
    cluster.checker.asked(uid);
    int to = anyNode();
    boolean[] over = {false};
    Consumer<ApiResponse> then =
        answer -> {
          String status = SimWireCodec.status(answer);
          over[0] = status.equals("done") || status.equals("aborted");
        };
    toNode(to, c -> c.poll(uid, checked(uid, false, to, then)));
    clock.at(
        POLL_MS + random.nextInt(POLL_MS),
        () -> {
          if (!over[0] || random.nextInt(STOPS_ONE_IN) > 0) {
            poll(uid);
          }
        });
  }

  void cancel(String uid, int tries) {
    cluster.checker.cancelAsked(uid);
    int to = anyNode();
    boolean[] told = {false};
    Consumer<ApiResponse> then = answer -> told[0] = answer.status() == OK;
    toNode(to, c -> c.cancel(uid, checked(uid, false, to, then)));
    clock.at(
        POLL_MS,
        () -> {
          if (!told[0] && tries < MOST_CANCELLATIONS) {
            cancel(uid, tries + 1);
          }
        });
  }
}
