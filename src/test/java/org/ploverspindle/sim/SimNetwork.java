package org.ploverspindle.sim;

import java.util.HashSet;
import java.util.Random;
import java.util.Set;

/** Who reaches whom, how long it takes, and what is lost or comes late. */
final class SimNetwork {
  private final SimClock clock;
  private final Random random;
  private final Set<String> cut = new HashSet<>();
  private final Set<String> deaf = new HashSet<>();
  private final Set<String> mute = new HashSet<>();
  private double lateShare;
  private double copyShare;

  SimNetwork(SimClock clock, Random random) {
    this.clock = clock;
    this.random = random;
  }

  /** Part of what is sent to the state service and the cloud is executed late, its answer lost. */
  void lateShare(double share) {
    lateShare = share;
  }

  /** What the host says arrives; what it is told does not. */
  void deaf(String host, boolean now) {
    if (now) {
      deaf.add(host);
    } else {
      deaf.remove(host);
    }
  }

  /** What the node answers does not arrive; what it asks is answered. */
  void mute(String node, boolean now) {
    if (now) {
      mute.add(node);
    } else {
      mute.remove(node);
    }
  }

  boolean hears(String host) {
    return !deaf.contains(host);
  }

  /** Part of the reports come a second time, late. */
  void copyShare(double share) {
    copyShare = share;
  }

  boolean copied() {
    return copyShare > 0 && random.nextDouble() < copyShare;
  }

  void cut(String a, String b, boolean now) {
    String pair = a.compareTo(b) < 0 ? a + "|" + b : b + "|" + a;
    if (now) {
      cut.add(pair);
    } else {
      cut.remove(pair);
    }
  }

  boolean reaches(String a, String b) {
    return !cut.contains(a.compareTo(b) < 0 ? a + "|" + b : b + "|" + a);
  }

  /**
   * Sends a request. Behind a cut it is held back: mostly lost, at times executed long after its
   * sender gave up.
   */
  void request(String from, String to, Runnable deliver, Runnable lost) {
    long delay = 1 + random.nextInt(15);
    if (!hears(to)) {
      lost.run();
    } else if (!reaches(from, to)) {
      if (random.nextInt(3) == 0) {
        clock.at(3_000 + random.nextInt(60_000), deliver);
      }
      lost.run();
    } else if (random.nextDouble() < lateShare) {
      clock.at(2_600 + random.nextInt(8_000), deliver);
      lost.run();
    } else {
      clock.at(delay, deliver);
    }
  }

  /** Sends an answer; false when it can't arrive. */
  boolean answer(String from, String to, Runnable deliver) {
    if (!hears(to)
        || mute.contains(from)
        || !reaches(from, to)
        || random.nextDouble() < lateShare) {
      return false;
    }
    clock.at(1 + random.nextInt(15), deliver);
    return true;
  }
}
