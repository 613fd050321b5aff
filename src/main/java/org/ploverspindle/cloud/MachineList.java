package org.ploverspindle.cloud;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.BooleanSupplier;
import org.ploverspindle.cluster.HeartbeatTimeout;
import org.ploverspindle.cluster.Machine;
import org.ploverspindle.cluster.MachineRegistry;
import org.ploverspindle.eventloop.Cancellable;
import org.ploverspindle.eventloop.Scheduler;
import org.ploverspindle.model.Term;
import org.ploverspindle.settings.Settings;
import org.ploverspindle.state.TokenBucket;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Reads the cloud's list of machines again and again, page by page, and tells the registry what it
 * shows and what it no longer shows. Rentals and returns come first: the larger the fleet, the
 * further apart the lists, so that their pages take a fixed share of the calls to the cloud.
 */
final class MachineList {
  private static final Logger LOG = LoggerFactory.getLogger(MachineList.class);

  private static final long SHORTEST_PERIOD_MS = 2_500;

  /** The list is read about twice within its lag. */
  private static final double PERIOD_MS_PER_LAG_S = 500;

  /** Part of the calls to the cloud that pages may take on average. */
  private static final double CALL_SHARE = 0.4;

  /** Calls that are left for rentals and returns when a list is begun. */
  private static final int CALLS_LEFT = 1;

  private static final long BUDGET_PAUSE_MS = 100;
  private static final long RETRY_MS = 600;

  /** A page that failed so often in a row ends the reading; the next one begins anew. */
  private static final int MOST_RETRIES = 4;

  /** A machine that so many lists in a row lack may be dropped. */
  private static final int MISSED_LISTS = 3;

  /** A list may be twice as old as its usual lag; the rest is margin. */
  private static final double DROP_MS_PER_LAG_S = 2_500;

  private static final long DROP_MARGIN_MS = 5_000;
  private static final double OLDEST_MS_PER_LAG_S = 2_000;
  private static final long OLDEST_MARGIN_MS = 1_000;

  private static final double MS_PER_S = 1_000;

  /** Called at the end of each complete list; the first of a term settles what there is. */
  interface Listener {
    void complete(boolean first);
  }

  /** One reading of the whole list. */
  private static final class Reading {
    private final long askedMs;
    private final Set<String> seen = new HashSet<>();
    private String after = "";
    private int pages;
    private int retries;

    Reading(long askedMs) {
      this.askedMs = askedMs;
    }
  }

  private final Scheduler scheduler;
  private final CloudClient cloud;
  private final MachineRegistry fleet;
  private final Settings settings;
  private final Term term;
  private final TokenBucket budget;
  private final HeartbeatTimeout silence;
  private final BooleanSupplier mayDecide;
  private final Listener listener;
  private final double pagesPerS;
  private final Map<String, Integer> missedLists = new HashMap<>();
  private boolean reading;
  private boolean readOnce;
  private long notBeforeMs = Long.MIN_VALUE / 2;

  /**
   * @param budget calls to the cloud, shared with rentals and returns
   * @param callsPerS the rate of that budget
   */
  MachineList(
      Scheduler scheduler,
      CloudClient cloud,
      MachineRegistry fleet,
      Settings settings,
      Term term,
      TokenBucket budget,
      double callsPerS,
      HeartbeatTimeout silence,
      BooleanSupplier mayDecide,
      Listener listener) {
    this.scheduler = scheduler;
    this.cloud = cloud;
    this.fleet = fleet;
    this.settings = settings;
    this.term = term;
    this.budget = budget;
    this.silence = silence;
    this.mayDecide = mayDecide;
    this.listener = listener;
    this.pagesPerS = callsPerS * CALL_SHARE;
  }

  /** Reads the list now, and again and again until cancelled. */
  Cancellable start() {
    long periodMs =
        Math.max(
            SHORTEST_PERIOD_MS,
            Math.round(settings.cloudLimits().listLagS() * PERIOD_MS_PER_LAG_S));
    Cancellable periodic = scheduler.every(periodMs, this::begin);
    begin();
    return periodic;
  }

  /** Was the whole list read in this term? */
  boolean wasRead() {
    return readOnce;
  }

  private void begin() {
    if (!reading
        && mayDecide.getAsBoolean()
        && scheduler.nowMs() >= notBeforeMs
        && budget.available() >= 1 + CALLS_LEFT
        && budget.tryTake(1)) {
      reading = true;
      ask(new Reading(scheduler.nowMs()));
    }
  }

  private void ask(Reading list) {
    cloud.listMachines(
        list.after,
        answer -> answer.ifPresentOrElse(page -> received(list, page), () -> failed(list)));
  }

  private void received(Reading list, CloudClient.HostPage page) {
    list.pages++;
    list.retries = 0;
    for (CloudClient.Host listed : page.hosts()) {
      list.seen.add(listed.id());
      list.after = listed.id();
      listed(listed);
    }
    if (page.hasNext() && !page.hosts().isEmpty()) {
      askNext(list);
    } else {
      complete(list);
    }
  }

  /** Pages wait for the budget: a list of many would else use up what the cloud allows. */
  private void askNext(Reading list) {
    if (!mayDecide.getAsBoolean()) {
      reading = false;
    } else if (budget.tryTake(1)) {
      ask(list);
    } else {
      scheduler.schedule(BUDGET_PAUSE_MS, () -> askNext(list));
    }
  }

  /**
   * A page after the first is asked for again: a list of many pages that began anew with each lost
   * answer might never be complete, and nothing is rented before the first one is.
   */
  private void failed(Reading list) {
    if (list.pages == 0 || ++list.retries > MOST_RETRIES) {
      reading = false;
    } else {
      scheduler.schedule(RETRY_MS, () -> askNext(list));
    }
  }

  private void complete(Reading list) {
    reading = false;
    notBeforeMs = list.askedMs + Math.round(list.pages / pagesPerS * MS_PER_S);
    unlisted(list);
    boolean first = !readOnce;
    readOnce = true;
    listener.complete(first);
  }

  private void listed(CloudClient.Host listed) {
    long nowMs = scheduler.nowMs();
    fleet
        .adopt(listed.id(), listed.type(), listed.zone(), listed.spot(), nowMs)
        .ifPresent(machine -> update(machine, listed, nowMs));
  }

  private static void update(Machine machine, CloudClient.Host listed, long nowMs) {
    machine.listedAt(nowMs);
    if (listed.status() == CloudClient.HostStatus.BOOTING && !machine.isUp()) {
      // The list is older than now by its lag, so this is not before the rental.
      machine.provisionedAt(nowMs - Math.round(listed.ageS() * MS_PER_S));
    }
    machine.setListedAddress(listed.address());
    if (listed.status() == CloudClient.HostStatus.FAILED && !machine.isDecommissioning()) {
      // It has stopped by itself; the answer to its release proves that all on it is gone.
      machine.markUnusable();
    }
  }

  /**
   * The list lags and can go back, so a machine that it no longer shows is dropped only when its
   * lease is over as well, and only after several lists in a row.
   */
  private void unlisted(Reading list) {
    long nowMs = scheduler.nowMs();
    double lagS = settings.cloudLimits().listLagS();
    for (Machine machine : List.copyOf(fleet.all())) {
      if (list.seen.contains(machine.host())) {
        missedLists.remove(machine.host());
        continue;
      }
      int missed = missedLists.merge(machine.host(), 1, Integer::sum);
      if (!machine.isDecommissioning() && isGone(machine, nowMs, list.askedMs)) {
        LOG.info("machine {} is silent and no longer listed: taken", machine.host());
        machine.markUnusable();
      }
      boolean old = nowMs - machine.knownSinceMs() > lagS * DROP_MS_PER_LAG_S + DROP_MARGIN_MS;
      if (missed >= MISSED_LISTS
          && old
          && machine.isEmpty()
          && nowMs > fleet.leaseExpiryMs(machine)) {
        LOG.info("machine {} is neither listed nor heard of: dropped", machine.host());
        missedLists.remove(machine.host());
        fleet.forget(machine);
      }
    }
  }

  /**
   * Silent, and missing from a list that can't be from before it was listed: "once listed, a
   * machine stays listed until it is gone". The list alone proves nothing here either, but
   * returning such a machine costs nothing, and the answer to that is the proof, many seconds
   * before its lease ends: for a wave of spot machines that are taken without notice.
   */
  private boolean isGone(Machine machine, long nowMs, long askedMs) {
    long oldestListMs =
        Math.round(settings.cloudLimits().listLagS() * OLDEST_MS_PER_LAG_S) + OLDEST_MARGIN_MS;
    // One that an earlier leader placed tasks on was rented before this term, if it was not listed.
    long listedMs = machine.isListed() ? machine.listedSinceMs() : term.startMs() + oldestListMs;
    boolean recorded =
        machine.isListed()
            || machine.lastKnownAgentEpoch() > 0 && machine.knownSinceMs() <= term.startMs();
    return recorded && askedMs - listedMs > oldestListMs && silence.isExpired(machine, nowMs);
  }
}
