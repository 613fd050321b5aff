package org.ploverspindle.controller;

import java.util.Collection;
import java.util.Set;
import java.util.SortedMap;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.function.Predicate;
import java.util.stream.Collectors;
import org.ploverspindle.eventloop.Scheduler;
import org.ploverspindle.peers.PeerMessage;

/** What the messages of all other controllers show. */
final class PeerObservations {
  /**
   * A controller is silent after this long without a message, in milliseconds. A process that ends
   * is heard again before that if it is restarted at once.
   */
  static final long SILENT_AFTER_MS = 8_000;

  private final Scheduler scheduler;
  private final SortedMap<String, PeerObservation> byName = new TreeMap<>();

  /**
   * @param names the names of the other controllers
   */
  PeerObservations(Scheduler scheduler, Collection<String> names) {
    this.scheduler = scheduler;
    names.forEach(name -> byName.put(name, new PeerObservation()));
  }

  /** Records a message; one of an unknown controller is ignored. */
  void record(PeerMessage message) {
    PeerObservation observation = byName.get(message.controllerName());
    if (observation == null) {
      return;
    }
    long nowMs = scheduler.nowMs();
    observation.recordMessage(nowMs);
    if (message instanceof PeerMessage.ReachabilityReply) {
      observation.recordReport(true, nowMs);
    } else if (message instanceof PeerMessage.Heartbeat heartbeat) {
      observation.recordReport(heartbeat.readsState(), nowMs);
    }
  }

  /** Whether this is the name of another controller. */
  boolean isKnown(String name) {
    return byName.containsKey(name);
  }

  /** Whether a controller has read the state service after {@code timeMs}, and recently. */
  boolean anyHasReadAfter(long timeMs) {
    long nowMs = scheduler.nowMs();
    return byName.values().stream().anyMatch(peer -> peer.hasReadAfter(timeMs, nowMs));
  }

  /** Returns the controllers that were heard at {@code timeMs} or later. */
  Set<String> heardSince(long timeMs) {
    return select(peer -> peer.lastHeardMs() >= timeMs);
  }

  /** Returns the controllers that have not been heard lately. */
  Set<String> silent() {
    long nowMs = scheduler.nowMs();
    return select(peer -> nowMs - peer.lastHeardMs() > SILENT_AFTER_MS);
  }

  /** Returns when the first of these controllers was last heard. */
  long earliestLastHeardMs(Set<String> names) {
    return names.stream()
        .mapToLong(name -> byName.get(name).lastHeardMs())
        .min()
        .orElse(PeerObservation.NEVER_MS);
  }

  private Set<String> select(Predicate<PeerObservation> condition) {
    Set<String> names = new TreeSet<>(byName.keySet());
    names.removeIf(name -> !condition.test(byName.get(name)));
    return names;
  }

  /** One field for the status page: each controller, and whether it is silent or reads. */
  String summary() {
    long nowMs = scheduler.nowMs();
    Set<String> silent = silent();
    return byName.keySet().stream()
        .map(name -> name + ":" + describe(byName.get(name), silent.contains(name), nowMs))
        .collect(Collectors.joining(","));
  }

  private static String describe(PeerObservation peer, boolean isSilent, long nowMs) {
    if (isSilent) {
      return "silent";
    }
    return peer.hasReadAfter(PeerObservation.NEVER_MS, nowMs) ? "reads" : "heard";
  }
}
