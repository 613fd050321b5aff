package org.ploverspindle.sim;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Locale;
import java.util.Random;
import java.util.function.IntConsumer;
import org.ploverspindle.net.Cbor;

/**
 * Users who send what is late, needless or wrong, to all nodes at once: what was said must stand
 * whatever else is asked, and a request that can't be served must leave no job behind.
 */
final class InvalidRequests {
  /** None of these may be null, so none may be left out. */
  private static final List<String> NEEDED =
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

  private static final int SPACING_MS = 250;

  private final SimulatedCluster w;
  private final Random random;
  private boolean on;
  private int counter;

  InvalidRequests(SimulatedCluster world) {
    this.w = world;
    this.random = new Random(7);
  }

  void play(boolean now) {
    if (now && !on) {
      w.clock.after(SPACING_MS, this::next);
    }
    on = now;
  }

  private void next() {
    if (!on) {
      return;
    }
    one();
    w.clock.after(random.nextInt(2 * SPACING_MS), this::next);
  }

  private String freshUid() {
    return String.format(Locale.ROOT, "run-%06d", 800_000 + counter++);
  }

  private void atAllNodes(IntConsumer request) {
    for (int i = 0; i < w.controllerCount; i++) {
      request.accept(i);
    }
  }

  private ObjectNode good(String uid) {
    byte[] body = SimulatedCluster.encode(InvariantsTest.job(uid, random));
    return Cbor.readMap(body).orElseThrow();
  }

  /** What is wrong with a submission. */
  private record Mistake(byte[] body, int status, String why) {}

  private Mistake lacking(String uid) {
    String field = NEEDED.get(random.nextInt(NEEDED.size()));
    ObjectNode body = good(uid);
    body.remove(field);
    return new Mistake(Cbor.write(body), 400, "lacks " + field);
  }

  private Mistake hopeless(String uid) {
    ObjectNode body = good(uid);
    int which = random.nextInt(5);
    switch (which) {
      case 0 -> body.put("cores", 17.0);
      case 1 -> body.put("owner", "nobody");
      case 2 -> body.putArray("flavours").add("huge");
      case 3 -> body.put("mem_gb", 65.0);
      default -> body.put("site", "nowhere");
    }
    return new Mistake(Cbor.write(body), 422, "can never run, " + which);
  }

  private Mistake mistake(String uid) {
    return random.nextBoolean() ? lacking(uid) : hopeless(uid);
  }

  private String any(List<String> uids) {
    return uids.isEmpty() ? "" : uids.get(random.nextInt(uids.size()));
  }

  private void one() {
    String unfinished = any(w.checker.unfinished());
    String done = any(w.checker.toldDone());
    String known = random.nextBoolean() || done.isEmpty() ? unfinished : done;
    switch (random.nextInt(8)) {
      case 0 -> repeat(unfinished);
      case 1 -> repeat(done);
      case 2 -> {
        if (!done.isEmpty()) {
          atAllNodes(i -> w.cancelAt(i, done));
        }
      }
      case 3, 4 -> refused(freshUid());
      case 5 -> {
        // The id counts, whatever else the body says.
        if (!known.isEmpty()) {
          byte[] body = mistake(known).body();
          atAllNodes(i -> w.submitAt(i, known, body));
        }
      }
      case 6 -> {
        String uid = freshUid();
        w.checker.neverAcceptable(uid, 404, "only asked about");
        atAllNodes(i -> w.cancelAt(i, uid));
        atAllNodes(i -> w.queryAt(i, uid));
      }
      default -> {
        String uid = freshUid();
        w.checker.neverAcceptable(uid, 400, "not a map");
        atAllNodes(i -> w.submitAt(i, uid, uid.getBytes(StandardCharsets.UTF_8)));
      }
    }
  }

  private void repeat(String uid) {
    if (!uid.isEmpty()) {
      atAllNodes(i -> w.submitAt(i, uid, SimulatedCluster.encode(w.spec(uid))));
    }
  }

  /** Whoever is refused asks all the same: nobody may know such a job. */
  private void refused(String uid) {
    Mistake m = mistake(uid);
    w.checker.neverAcceptable(uid, m.status(), m.why());
    atAllNodes(i -> w.submitAt(i, uid, m.body()));
    w.clock.after(random.nextInt(6_000), () -> atAllNodes(i -> w.queryAt(i, uid)));
  }
}
