package org.ploverspindle.sim;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;

/** Who reaches whom, how long it takes, and what is lost or comes late. */
final class SimNetwork {
  private static final int MOST_HELD = 16;

  private final SimClock clock;
  private final Random random;
  private final Set<String> cut = new HashSet<>();
  private final Set<String> deaf = new HashSet<>();
  private final Set<String> mute = new HashSet<>();
  private final Set<String> machineMute = new HashSet<>();
  private final Map<String, List<Runnable>> held = new HashMap<>();
  private final Map<String, Integer> slow = new HashMap<>();
  private double lateShare;
  private double heldCommands;
  private double copyShare;
  private double lateWrites;
  private double lostHints;
  private boolean writesAtOnce;
  private double lateReports;
  private boolean reportsForNext;

  /** What becomes of a transaction. */
  enum WriteFate {
    ANSWERED,
    /** Carried out after newer ones, and never answered. */
    LATE,
    /** Carried out at once, and never answered. */
    UNANSWERED
  }

  /** What becomes of a report, beside its arrival. */
  enum ReportFate {
    ONCE,
    /** A copy reaches every controller later. */
    AGAIN,
    /** A copy reaches every controller when the next term begins. */
    FOR_NEXT
  }

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

  /**
   * This share of the transactions gets no answer: "no response" must neither be taken for done nor
   * for failed. {@code atOnce}: others read what the writer does not know to stand; otherwise it is
   * carried out after newer ones, which it must not undo.
   */
  void lateWrites(double share, boolean atOnce) {
    lateWrites = share;
    writesAtOnce = atOnce;
  }

  /** This share of what controllers tell each other is lost. */
  void lostHints(double share) {
    lostHints = share;
  }

  boolean losesHint() {
    return lostHints > 0 && random.nextDouble() < lostHints;
  }

  WriteFate writeFate() {
    if (lateWrites <= 0 || random.nextDouble() >= lateWrites) {
      return WriteFate.ANSWERED;
    }
    return writesAtOnce ? WriteFate.UNANSWERED : WriteFate.LATE;
  }

  /**
   * Of this share of the reports a copy comes again, to every controller: what is old must not be
   * believed. {@code forNext}: just as a leader begins who has heard nothing newer.
   */
  void lateReports(double share, boolean forNext) {
    lateReports = share;
    reportsForNext = forNext;
  }

  ReportFate reportFate() {
    if (lateReports <= 0 || random.nextDouble() >= lateReports) {
      return ReportFate.ONCE;
    }
    return reportsForNext ? ReportFate.FOR_NEXT : ReportFate.AGAIN;
  }

  /**
   * The machine opens no connection to any controller, so that its lease runs out, while direct
   * commands reach it and are answered: what they show is no sign that it hears.
   */
  void machineMute(String host, boolean now) {
    if (now) {
      machineMute.add(host);
    } else {
      machineMute.remove(host);
    }
  }

  /**
   * This share of the direct commands is held up for seconds and then carried out, while reports on
   * connections of their own overtake them.
   */
  void heldCommands(double share) {
    heldCommands = share;
  }

  long commandHeldMs() {
    boolean isHeld = heldCommands > 0 && random.nextDouble() < heldCommands;
    return isHeld ? 1_600 + random.nextInt(7_000) : 0;
  }

  /** Each way to and from the host takes up to so long; 0: as ever. */
  void slow(String host, int mostMs) {
    slow.put(host, mostMs);
  }

  private long delayMs(String host) {
    int mostMs = slow.getOrDefault(host, 0);
    return 1 + random.nextInt(15) + (mostMs > 0 ? random.nextInt(mostMs) : 0);
  }

  boolean speaks(String host) {
    return !machineMute.contains(host);
  }

  /**
   * Packets between the two are held back and delivered in order when that ends, long after their
   * senders gave up. Only a few connections are open; what opens another one is lost.
   *
   * @return how many packets are delivered now
   */
  int hold(String a, String b, boolean now) {
    if (now) {
      held.putIfAbsent(pair(a, b), new ArrayList<>());
      return 0;
    }
    List<Runnable> packets = held.remove(pair(a, b));
    if (packets == null) {
      return 0;
    }
    packets.forEach(p -> clock.at(1, p));
    return packets.size();
  }

  private boolean heldBack(String from, String to, Runnable packet) {
    List<Runnable> packets = held.get(pair(from, to));
    if (packets == null) {
      return false;
    }
    if (packets.size() < MOST_HELD) {
      packets.add(packet);
    }
    return true;
  }

  private static String pair(String a, String b) {
    return a.compareTo(b) < 0 ? a + "|" + b : b + "|" + a;
  }

  boolean copied() {
    return copyShare > 0 && random.nextDouble() < copyShare;
  }

  void cut(String a, String b, boolean now) {
    if (now) {
      cut.add(pair(a, b));
    } else {
      cut.remove(pair(a, b));
    }
  }

  boolean reaches(String a, String b) {
    return !cut.contains(pair(a, b));
  }

  /**
   * Sends a request. Behind a cut it is held back: mostly lost, at times executed long after its
   * sender gave up.
   */
  void request(String from, String to, Runnable deliver, Runnable lost) {
    long delay = delayMs(to);
    if (!hears(to) || !speaks(from)) {
      lost.run();
    } else if (heldBack(from, to, deliver)) {
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
    if (heldBack(from, to, deliver)) {
      return false;
    }
    clock.at(delayMs(from), deliver);
    return true;
  }
}
