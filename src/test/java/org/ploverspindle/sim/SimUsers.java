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

/** Users who submit, poll and cancel at any controller; the checker verifies every response. */
final class SimUsers {
  private static final int OK = 200;
  private static final int CREATED = 201;
  private static final int MAX_SUBMISSION_RETRIES = 40;
  private static final int MAX_CANCELLATION_RETRIES = 30;

  /** Retry count of a repeated submission; it is above the maximum, so that it is not retried. */
  private static final int NO_MORE_RETRIES = 100;

  private static final int RESUBMITTED_ONE_IN = 6;
  private static final long FIRST_POLL_DELAY_MS = 1_000;
  private static final int MIN_RETRY_DELAY_MS = 2_000;
  private static final int RETRY_DELAY_RANGE_MS = 2_000;
  private static final int POLL_INTERVAL_MS = 2_500;

  /** After each poll, one in this many of the users whose job is over stops polling. */
  private static final int STOPS_POLLING_ONE_IN = 4;

  private static final int CANCELLATION_WINDOW_MS = 200;
  private static final int MAX_HANGING_WORKERS = 8;
  private static final int BURST_WINDOW_MS = 12;
  private static final int BURST_QUERIES = 3;
  private static final int BURST_CANCELS_ONE_IN = 6;
  private static final int MAX_CANCELLATION_DELAY_MS = 2_500;

  private final SimulatedCluster cluster;
  private final SimClock clock;
  private final Random random;
  private final Map<String, JobSpec> specs;
  private final Set<String> burstsSent = new HashSet<>();
  private final Map<Integer, Integer> responseCounts = new HashMap<>();
  private double cancelAtEndShare;
  private boolean sendsBursts;
  private int jobCounter;

  /**
   * @param specs all submitted jobs by uid; shared with the simulated workers
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

  /** Number of responses with this status that users received. */
  int responseCount(int status) {
    return responseCounts.getOrDefault(status, 0);
  }

  /** Adds a user who submits until the job is accepted, and then polls until it is over. */
  void submitAndPoll(JobSpec spec) {
    cluster.checker.submitted(spec);
    specs.put(spec.uid(), spec);
    submit(spec, 0);
  }

  /**
   * Cancels this many running jobs within 200 ms, while up to eight of their machines begin to
   * hang. The stop commands wait on these machines, and no task may resume after the cancellation
   * delay.
   *
   * @param hangDurationMs how long the machines hang; 0: none hangs
   */
  void cancelRunning(int count, long hangDurationMs) {
    List<String> running = new ArrayList<>(cluster.checker.running());
    Collections.shuffle(running, random);
    Set<String> hosts = new LinkedHashSet<>();
    for (String uid : running.subList(0, Math.min(count, running.size()))) {
      hosts.addAll(cluster.checker.hostsOf(uid));
      clock.after(random.nextInt(CANCELLATION_WINDOW_MS), () -> cancel(uid, 0));
    }
    if (hangDurationMs > 0) {
      cluster.cloud.workers().stream()
          .filter(worker -> hosts.contains(worker.host()))
          .limit(MAX_HANGING_WORKERS)
          .forEach(
              worker ->
                  clock.after(
                      random.nextInt(CANCELLATION_WINDOW_MS), () -> worker.hang(hangDurationMs)));
    }
  }

  /**
   * This share of the jobs is cancelled when their last task ends, or within 2.5 s, while the
   * completion is being recorded. A job must end either as done or as aborted, never as both.
   */
  void setCancelAtEndShare(double share) {
    cancelAtEndShare = share;
  }

  /**
   * From now on, within 12 ms after a job was accepted, ended or confirmed as cancelled, users
   * query it and repeat its submission at every controller, and some cancel it. No controller's
   * response may be older than what another controller has acknowledged.
   */
  void setRequestBursts(boolean active) {
    sendsBursts = active;
  }

  void lastTaskEnded(String uid) {
    if (cancelAtEndShare > 0 && random.nextDouble() < cancelAtEndShare) {
      clock.after(
          random.nextBoolean() ? 0 : random.nextInt(MAX_CANCELLATION_DELAY_MS),
          () -> cancel(uid, 0));
    }
    sendRequestBurst(uid, "ended");
  }

  /** Sends a burst once for each event of a job; responses to it that show the event cause none. */
  private void sendRequestBurst(String uid, String event) {
    if (!sendsBursts || !specs.containsKey(uid) || !burstsSent.add(uid + " " + event)) {
      return;
    }
    for (int i = 0; i < cluster.controllerCount; i++) {
      int controller = i;
      for (int query = 0; query < BURST_QUERIES; query++) {
        clock.after(random.nextInt(BURST_WINDOW_MS), () -> queryAt(controller, uid));
      }
      clock.after(
          random.nextInt(BURST_WINDOW_MS),
          () -> submitAt(controller, uid, SimWireCodec.encode(specs.get(uid))));
    }
    if (random.nextInt(BURST_CANCELS_ONE_IN) == 0) {
      clock.after(random.nextInt(BURST_WINDOW_MS), () -> cancel(uid, 0));
    }
  }

  /** Sends a single query to the controller; its response is checked. */
  void queryAt(int controller, String uid) {
    queryAt(controller, uid, response -> {});
  }

  /** Sends a single query to the controller; its response is checked and passed on. */
  void queryAt(int controller, String uid, Consumer<ApiResponse> then) {
    sendTo(controller, target -> target.poll(uid, checkedResponse(uid, false, controller, then)));
  }

  /** Sends a single submission to the controller; its response is checked. */
  void submitAt(int controller, String uid, byte[] body) {
    Consumer<ApiResponse> then = checkedResponse(uid, true, controller, response -> {});
    sendTo(controller, target -> target.submit(body, then));
  }

  /** Sends a single cancellation to the controller; its response is checked. */
  void cancelAt(int controller, String uid, Consumer<ApiResponse> then) {
    Consumer<ApiResponse> checked = checkedResponse(uid, false, controller, then);
    sendTo(controller, target -> target.cancel(uid, checked));
  }

  private int randomController() {
    return random.nextInt(cluster.controllerCount);
  }

  private void sendTo(int controller, Consumer<Controller> request) {
    if (!cluster.isAlive(controller)) {
      return;
    }
    SimClock.Process process = cluster.process(controller);
    clock.after(
        1 + random.nextInt(5),
        () -> {
          if (!process.isDead()) {
            process.schedule(0, () -> request.accept(cluster.controller(controller)));
          }
        });
  }

  private Consumer<ApiResponse> checkedResponse(
      String uid, boolean isSubmission, int controller, Consumer<ApiResponse> then) {
    SimClock.Process process = cluster.process(controller);
    long sentMs = clock.nowMs();
    return response -> {
      if (process.isDead()) {
        return;
      }
      String status = SimWireCodec.status(response);
      cluster.checker.recordAnswer(uid, response.status(), status, isSubmission, sentMs);
      responseCounts.merge(response.status(), 1, Integer::sum);
      then.accept(response);
      if (isSuccess(response)) {
        sendRequestBurst(uid, status.equals("running") ? "queued" : status);
      }
    };
  }

  private static boolean isSuccess(ApiResponse response) {
    return response.status() == OK || response.status() == CREATED;
  }

  private void submit(JobSpec spec, int retries) {
    boolean[] accepted = {false};
    int controller = randomController();
    Consumer<ApiResponse> then =
        response -> {
          cluster.checker.checkAcceptableSubmission(spec.uid(), response.status());
          if (isSuccess(response)) {
            accepted[0] = true;
            clock.after(FIRST_POLL_DELAY_MS, () -> poll(spec.uid()));
          }
        };
    sendTo(
        controller,
        target ->
            target.submit(
                SimWireCodec.encode(spec), checkedResponse(spec.uid(), true, controller, then)));
    clock.after(
        MIN_RETRY_DELAY_MS + random.nextInt(RETRY_DELAY_RANGE_MS),
        () -> {
          if (!accepted[0] && retries < MAX_SUBMISSION_RETRIES) {
            submit(spec, retries + 1);
          } else if (random.nextInt(RESUBMITTED_ONE_IN) == 0) {
            submit(spec, NO_MORE_RETRIES);
          }
        });
  }

  void poll(String uid) {
    cluster.checker.recordPoll(uid);
    int controller = randomController();
    boolean[] isOver = {false};
    Consumer<ApiResponse> then =
        response -> {
          String status = SimWireCodec.status(response);
          isOver[0] = status.equals("done") || status.equals("aborted");
        };
    sendTo(controller, target -> target.poll(uid, checkedResponse(uid, false, controller, then)));
    clock.after(
        POLL_INTERVAL_MS + random.nextInt(POLL_INTERVAL_MS),
        () -> {
          if (!isOver[0] || random.nextInt(STOPS_POLLING_ONE_IN) > 0) {
            poll(uid);
          }
        });
  }

  void cancel(String uid, int retries) {
    cluster.checker.recordCancellationRequest(uid);
    int controller = randomController();
    boolean[] isAcknowledged = {false};
    Consumer<ApiResponse> then = response -> isAcknowledged[0] = response.status() == OK;
    sendTo(controller, target -> target.cancel(uid, checkedResponse(uid, false, controller, then)));
    clock.after(
        POLL_INTERVAL_MS,
        () -> {
          if (!isAcknowledged[0] && retries < MAX_CANCELLATION_RETRIES) {
            cancel(uid, retries + 1);
          }
        });
  }
}
