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
  private static final int MAX_HELD_PACKETS = 16;

  private final SimClock clock;
  private final Random random;
  private final Set<String> partitionedPairs = new HashSet<>();
  private final Set<String> inboundDropped = new HashSet<>();
  private final Set<String> responsesDropped = new HashSet<>();
  private final Set<String> requestsDropped = new HashSet<>();
  private final Map<String, List<Runnable>> heldPackets = new HashMap<>();
  private final Map<String, Integer> maxDelays = new HashMap<>();
  private double lateRequestShare;
  private double delayedCommandShare;
  private double delayedCopyShare;
  private double unansweredWriteShare;
  private double lostPeerMessageShare;
  private boolean unansweredAreImmediate;
  private double replayShare;
  private boolean replaysAtNextTerm;

  /** What becomes of a transaction. */
  enum WriteOutcome {
    ANSWERED,
    /** Carried out after newer ones, and never answered. */
    LATE_UNANSWERED,
    /** Carried out at once, and never answered. */
    UNANSWERED
  }

  /** What becomes of a report, beside its arrival. */
  enum Replay {
    NONE,
    /** A copy reaches every controller later. */
    DELAYED,
    /** A copy reaches every controller when the next term begins. */
    AT_NEXT_TERM
  }

  SimNetwork(SimClock clock, Random random) {
    this.clock = clock;
    this.random = random;
  }

  /** Part of what is sent to the state service and the cloud is executed late, its answer lost. */
  void setLateRequestShare(double share) {
    lateRequestShare = share;
  }

  /** What the host says arrives; what it is told does not. */
  void dropInbound(String host, boolean active) {
    if (active) {
      inboundDropped.add(host);
    } else {
      inboundDropped.remove(host);
    }
  }

  /** What the node answers does not arrive; what it asks is answered. */
  void dropResponsesFrom(String controller, boolean active) {
    if (active) {
      responsesDropped.add(controller);
    } else {
      responsesDropped.remove(controller);
    }
  }

  boolean receives(String host) {
    return !inboundDropped.contains(host);
  }

  /** Part of the reports come a second time, late. */
  void setDelayedCopyShare(double share) {
    delayedCopyShare = share;
  }

  /**
   * This share of the transactions gets no answer: "no response" must neither be taken for done nor
   * for failed. {@code atOnce}: others read what the writer does not know to stand; otherwise it is
   * carried out after newer ones, which it must not undo.
   */
  void setUnansweredWrites(double share, boolean immediate) {
    unansweredWriteShare = share;
    unansweredAreImmediate = immediate;
  }

  /** This share of what controllers tell each other is lost. */
  void setLostPeerMessageShare(double share) {
    lostPeerMessageShare = share;
  }

  boolean drawPeerMessageLoss() {
    return lostPeerMessageShare > 0 && random.nextDouble() < lostPeerMessageShare;
  }

  WriteOutcome drawWriteOutcome() {
    if (unansweredWriteShare <= 0 || random.nextDouble() >= unansweredWriteShare) {
      return WriteOutcome.ANSWERED;
    }
    return unansweredAreImmediate ? WriteOutcome.UNANSWERED : WriteOutcome.LATE_UNANSWERED;
  }

  /**
   * Of this share of the reports a copy comes again, to every controller: what is old must not be
   * believed. {@code forNext}: just as a leader begins who has heard nothing newer.
   */
  void setHeartbeatReplay(double share, boolean atNextTerm) {
    replayShare = share;
    replaysAtNextTerm = atNextTerm;
  }

  Replay drawReplay() {
    if (replayShare <= 0 || random.nextDouble() >= replayShare) {
      return Replay.NONE;
    }
    return replaysAtNextTerm ? Replay.AT_NEXT_TERM : Replay.DELAYED;
  }

  /**
   * The machine opens no connection to any controller, so that its lease runs out, while direct
   * commands reach it and are answered: what they show is no sign that it hears.
   */
  void dropRequestsFrom(String host, boolean active) {
    if (active) {
      requestsDropped.add(host);
    } else {
      requestsDropped.remove(host);
    }
  }

  /**
   * This share of the direct commands is held up for seconds and then carried out, while reports on
   * connections of their own overtake them.
   */
  void setDelayedCommandShare(double share) {
    delayedCommandShare = share;
  }

  long drawCommandDelayMs() {
    boolean isDelayed = delayedCommandShare > 0 && random.nextDouble() < delayedCommandShare;
    return isDelayed ? 1_600 + random.nextInt(7_000) : 0;
  }

  /** Each way to and from the host takes up to so long; 0: as ever. */
  void setMaxDelay(String host, int maxDelayMs) {
    maxDelays.put(host, maxDelayMs);
  }

  private long delayMs(String host) {
    int maxDelayMs = maxDelays.getOrDefault(host, 0);
    return 1 + random.nextInt(15) + (maxDelayMs > 0 ? random.nextInt(maxDelayMs) : 0);
  }

  boolean sendsRequests(String host) {
    return !requestsDropped.contains(host);
  }

  /**
   * Packets between the two are held back and delivered in order when that ends, long after their
   * senders gave up. Only a few connections are open; what opens another one is lost.
   *
   * @return how many packets are delivered now
   */
  int holdPackets(String a, String b, boolean active) {
    if (active) {
      heldPackets.putIfAbsent(pair(a, b), new ArrayList<>());
      return 0;
    }
    List<Runnable> packets = heldPackets.remove(pair(a, b));
    if (packets == null) {
      return 0;
    }
    packets.forEach(packet -> clock.after(1, packet));
    return packets.size();
  }

  private boolean holdBack(String from, String to, Runnable packet) {
    List<Runnable> packets = heldPackets.get(pair(from, to));
    if (packets == null) {
      return false;
    }
    if (packets.size() < MAX_HELD_PACKETS) {
      packets.add(packet);
    }
    return true;
  }

  private static String pair(String a, String b) {
    return a.compareTo(b) < 0 ? a + "|" + b : b + "|" + a;
  }

  boolean drawDelayedCopy() {
    return delayedCopyShare > 0 && random.nextDouble() < delayedCopyShare;
  }

  void partition(String a, String b, boolean active) {
    if (active) {
      partitionedPairs.add(pair(a, b));
    } else {
      partitionedPairs.remove(pair(a, b));
    }
  }

  boolean isConnected(String a, String b) {
    return !partitionedPairs.contains(pair(a, b));
  }

  /**
   * Sends a request. Behind a cut it is held back: mostly lost, at times executed long after its
   * sender gave up.
   */
  void request(String from, String to, Runnable deliver, Runnable onLoss) {
    long delay = delayMs(to);
    if (!receives(to) || !sendsRequests(from)) {
      onLoss.run();
    } else if (holdBack(from, to, deliver)) {
      onLoss.run();
    } else if (!isConnected(from, to)) {
      if (random.nextInt(3) == 0) {
        clock.after(3_000 + random.nextInt(60_000), deliver);
      }
      onLoss.run();
    } else if (random.nextDouble() < lateRequestShare) {
      clock.after(2_600 + random.nextInt(8_000), deliver);
      onLoss.run();
    } else {
      clock.after(delay, deliver);
    }
  }

  /** Sends an answer; false when it can't arrive. */
  boolean respond(String from, String to, Runnable deliver) {
    if (!receives(to)
        || responsesDropped.contains(from)
        || !isConnected(from, to)
        || random.nextDouble() < lateRequestShare) {
      return false;
    }
    if (holdBack(from, to, deliver)) {
      return false;
    }
    clock.after(delayMs(from), deliver);
    return true;
  }
}
