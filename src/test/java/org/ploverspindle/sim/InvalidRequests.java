package org.ploverspindle.sim;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Locale;
import java.util.Random;
import java.util.function.IntConsumer;
import org.ploverspindle.net.Cbor;

/**
 * Users who send late, redundant or invalid requests to all controllers at once. Answers already
 * given must stay valid, and a refused request must leave no job behind.
 */
final class InvalidRequests {
  /** The fields of a submission that may be neither null nor missing. */
  private static final List<String> REQUIRED_FIELDS =
      List.of(
          "jobclass",
          "owner",
          "shape",
          "urgency",
          "pieces",
          "cores",
          "accelerators",
          "mem_gb",
          "bundle",
          "image_gb",
          "one_zone",
          "apart",
          "loaners",
          "expected_s",
          "save_every_s",
          "save_cost_s");

  private static final int MEAN_INTERVAL_MS = 250;

  private final SimulatedCluster cluster;
  private final Random random;
  private boolean active;
  private int uidCount;

  InvalidRequests(SimulatedCluster cluster) {
    this.cluster = cluster;
    this.random = new Random(7);
  }

  void setActive(boolean enable) {
    if (enable && !active) {
      cluster.clock.after(MEAN_INTERVAL_MS, this::sendAndScheduleNext);
    }
    active = enable;
  }

  private void sendAndScheduleNext() {
    if (!active) {
      return;
    }
    sendRandomRequest();
    cluster.clock.after(random.nextInt(2 * MEAN_INTERVAL_MS), this::sendAndScheduleNext);
  }

  private String freshUid() {
    return String.format(Locale.ROOT, "run-%06d", 800_000 + uidCount++);
  }

  private void atAllControllers(IntConsumer request) {
    for (int i = 0; i < cluster.controllerCount; i++) {
      request.accept(i);
    }
  }

  private ObjectNode validBody(String uid) {
    byte[] body = SimulatedCluster.encode(InvariantsTest.job(uid, random));
    return Cbor.readMap(body).orElseThrow();
  }

  /** A submission that must be refused with the status. */
  private record InvalidSubmission(byte[] body, int status, String reason) {}

  private InvalidSubmission withoutRequiredField(String uid) {
    String field = REQUIRED_FIELDS.get(random.nextInt(REQUIRED_FIELDS.size()));
    ObjectNode body = validBody(uid);
    body.remove(field);
    return new InvalidSubmission(Cbor.write(body), 400, "lacks " + field);
  }

  private InvalidSubmission unsatisfiable(String uid) {
    ObjectNode body = validBody(uid);
    int demand = random.nextInt(5);
    switch (demand) {
      case 0 -> body.put("cores", 17.0);
      case 1 -> body.put("owner", "nobody");
      case 2 -> body.putArray("flavours").add("huge");
      case 3 -> body.put("mem_gb", 65.0);
      default -> body.put("site", "nowhere");
    }
    return new InvalidSubmission(
        Cbor.write(body), 422, "can never run, unsatisfiable demand " + demand);
  }

  private InvalidSubmission randomInvalidSubmission(String uid) {
    return random.nextBoolean() ? withoutRequiredField(uid) : unsatisfiable(uid);
  }

  private String randomOrEmpty(List<String> uids) {
    return uids.isEmpty() ? "" : uids.get(random.nextInt(uids.size()));
  }

  private void sendRandomRequest() {
    String unfinished = randomOrEmpty(cluster.checker.unfinished());
    String done = randomOrEmpty(cluster.checker.answeredDone());
    String known = random.nextBoolean() || done.isEmpty() ? unfinished : done;
    switch (random.nextInt(8)) {
      case 0 -> resubmit(unfinished);
      case 1 -> resubmit(done);
      case 2 -> {
        if (!done.isEmpty()) {
          atAllControllers(i -> cluster.cancelAt(i, done));
        }
      }
      case 3, 4 -> submitInvalidThenQuery(freshUid());
      case 5 -> {
        // The uid of a known job decides the answer, also when the rest of the body is invalid.
        if (!known.isEmpty()) {
          byte[] body = randomInvalidSubmission(known).body();
          atAllControllers(i -> cluster.submitAt(i, known, body));
        }
      }
      case 6 -> {
        String uid = freshUid();
        cluster.checker.expectRefusal(uid, 404, "cancelled and queried but never submitted");
        atAllControllers(i -> cluster.cancelAt(i, uid));
        atAllControllers(i -> cluster.queryAt(i, uid));
      }
      default -> {
        String uid = freshUid();
        cluster.checker.expectRefusal(uid, 400, "body is not a map");
        atAllControllers(i -> cluster.submitAt(i, uid, uid.getBytes(StandardCharsets.UTF_8)));
      }
    }
  }

  private void resubmit(String uid) {
    if (!uid.isEmpty()) {
      atAllControllers(i -> cluster.submitAt(i, uid, SimulatedCluster.encode(cluster.spec(uid))));
    }
  }

  /** Submits an invalid job and queries it later: no controller may know the refused job. */
  private void submitInvalidThenQuery(String uid) {
    InvalidSubmission submission = randomInvalidSubmission(uid);
    cluster.checker.expectRefusal(uid, submission.status(), submission.reason());
    atAllControllers(i -> cluster.submitAt(i, uid, submission.body()));
    cluster.clock.after(
        random.nextInt(6_000), () -> atAllControllers(i -> cluster.queryAt(i, uid)));
  }
}
