package org.ploverspindle.leadership;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.Optional;
import java.util.random.RandomGenerator;
import org.ploverspindle.loop.Cancellable;
import org.ploverspindle.loop.Scheduler;
import org.ploverspindle.net.Cbor;
import org.ploverspindle.state.Keys;
import org.ploverspindle.state.Replica;
import org.ploverspindle.state.StateStore;
import org.ploverspindle.state.StateStore.Change;
import org.ploverspindle.state.StateStore.Condition;
import org.ploverspindle.state.StateStore.Entry;
import org.ploverspindle.state.StateStore.Renewal;
import org.ploverspindle.state.StateStore.TxnResult;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Who leads: whoever's key stands in the state service, attached to a lease. The transaction that
 * makes a leader also raises the token, so tokens grow with leaders and none is used twice.
 */
public final class Election {
  private static final Logger LOG = LoggerFactory.getLogger(Election.class);

  private static final long RESIGNATION_PAUSE_MS = 12_000;
  private static final long RESIGNATION_FORGOTTEN_MS = 120_000;
  private static final long OTHERS_FIRST_MS = 2_500;

  /** So many terms in so short a time: whatever ends them, another change does not help. */
  private static final int MANY_TERMS = 3;

  private static final long MANY_TERMS_MS = 60_000;

  /** What the rest of the process is told; always on the loop. */
  public interface Listener {
    /** The term began; the copy holds all that earlier leaders wrote. */
    void leading(Term term);

    /** The term is over: nothing may be decided any more. */
    void ended(Term term, String cause);
  }

  private final Scheduler scheduler;
  private final StateStore store;
  private final Replica replica;
  private final RandomGenerator random;
  private final Timing timing;
  private final String member;
  private final String nonce;
  private final Listener listener;

  private Optional<Long> lease = Optional.empty();
  private long leaseSentMs;
  private boolean leaseBusy;
  private boolean acquiring;
  private long earliestTryMs;
  private long pausedUntilMs = Long.MIN_VALUE / 2;
  private long lastResignationMs = Long.MIN_VALUE / 2;
  private int resignations;
  private long vacantSinceMs;
  private Optional<Term> term = Optional.empty();
  private final Deque<Long> termsSeenMs = new ArrayDeque<>();

  public Election(
      Scheduler scheduler,
      StateStore store,
      Replica replica,
      RandomGenerator random,
      Timing timing,
      String member,
      Listener listener) {
    this.scheduler = scheduler;
    this.store = store;
    this.replica = replica;
    this.random = random;
    this.timing = timing;
    this.member = member;
    this.nonce = Long.toString(random.nextLong() >>> 1, 36);
    this.listener = listener;
    replica.listen(this::changed);
  }

  public Cancellable start() {
    return scheduler.every(timing.stateLeaseMs() / 20, this::tick);
  }

  public Optional<Term> term() {
    return term;
  }

  /** The leader by the copy, also another node. */
  public Optional<String> leaderName() {
    return replica.text(Keys.LEADER, "member");
  }

  /** The first token of the leader by the copy, also another node's. */
  public Optional<Long> leaderToken() {
    return replica.get(Keys.LEADER).map(e -> e.value().path("token").asLong());
  }

  /** May this node decide? Only while its lease certainly lives. */
  public boolean mayDecide() {
    return term.isPresent() && scheduler.nowMs() < leaseSentMs + timing.stateLeaseSurelyMs();
  }

  /** When the leader key was last known to be ours. */
  public long lastKnownMs() {
    return Math.min(leaseSentMs, replica.freshAsOfMs());
  }

  /** Has the lead changed again and again lately, as far as this node saw? */
  boolean changesOften() {
    termsSeenMs.removeIf(seen -> scheduler.nowMs() - seen > MANY_TERMS_MS);
    return termsSeenMs.size() >= MANY_TERMS;
  }

  private void tick() {
    if (!replica.loaded()) {
      return;
    }
    if (term.isPresent()) {
      if (lease.isPresent()
          && !leaseBusy
          && scheduler.nowMs() - leaseSentMs >= timing.stateLeaseMs() / 4) {
        renew();
      }
    } else if (replica.get(Keys.LEADER).isEmpty()) {
      tryToLead();
    }
  }

  private void openLease() {
    if (leaseBusy) {
      return;
    }
    leaseBusy = true;
    long sentMs = scheduler.nowMs();
    store.openLease(
        timing.stateLeaseMs(),
        opened -> {
          leaseBusy = false;
          if (opened.isPresent()) {
            lease = opened;
            leaseSentMs = sentMs;
            tick();
          }
        });
  }

  private void renew() {
    leaseBusy = true;
    long sentMs = scheduler.nowMs();
    long id = lease.get();
    store.renewLease(
        id,
        result -> {
          leaseBusy = false;
          if (result == Renewal.RENEWED) {
            leaseSentMs = Math.max(leaseSentMs, sentMs);
          } else if (result == Renewal.GONE) {
            lease = Optional.empty();
            end("the state lease ended");
          } else {
            // Tried again soon, but not in a storm: the service may be refusing us for its rate.
            scheduler.schedule(100 + random.nextInt(200), () -> {});
          }
        });
  }

  private void tryToLead() {
    if (acquiring || scheduler.nowMs() < earliestTryMs || pausesAfterResigning()) {
      return;
    }
    // Only who tries to lead needs a lease: renewals of all others would use up shared requests.
    if (lease.isEmpty() || scheduler.nowMs() > leaseSentMs + timing.stateLeaseSurelyMs() / 2) {
      openLease();
      return;
    }
    acquiring = true;
    long tokenStamp = replica.get(Keys.TOKEN).map(Entry::stamp).orElse(0L);
    long token = replica.get(Keys.TOKEN).map(e -> e.value().path("n").asLong(0)).orElse(0L) + 1;
    JsonNode leader =
        Cbor.map()
            .put("member", member)
            .put("nonce", nonce)
            .put("token", token)
            .put("hold", lease.get());
    store.txn(
        new StateStore.Txn(
            List.of(new Condition(Keys.LEADER, 0), new Condition(Keys.TOKEN, tokenStamp)),
            List.of(
                new Change.Put(Keys.LEADER, leader, lease),
                // The last token of the term: whoever reads this, the next term begins above it.
                new Change.Put(Keys.TOKEN, Cbor.map().put("n", token + Term.SPAN - 1)))),
        result -> {
          if (result instanceof TxnResult.NoSuchHold) {
            lease = Optional.empty();
          }
          // Whatever was said, the copy tells who leads: an unanswered try may have succeeded.
          replica.barrier(
              ok -> {
                acquiring = false;
                earliestTryMs = scheduler.nowMs() + 50 + random.nextInt(400);
              });
        });
  }

  private void changed(String key, Optional<Entry> entry) {
    if (!key.equals(Keys.LEADER)) {
      return;
    }
    if (entry.isEmpty()) {
      vacantSinceMs = scheduler.nowMs();
      earliestTryMs = scheduler.nowMs() + random.nextInt(150);
      end("the leader key is gone");
      return;
    }
    termsSeenMs.addLast(scheduler.nowMs());
    JsonNode value = entry.get().value();
    boolean ours = value.path("nonce").asText("").equals(nonce);
    if (!ours && value.path("member").asText("").equals(member)) {
      // Left by this controller's process before this one, or by a try of it that was executed
      // late: nobody renews it, and the others need not wait for its end.
      store.closeLease(value.path("hold").asLong(0));
    }
    if (ours && lease.isPresent() && value.path("hold").asLong(-1) != lease.get()) {
      // A try that was executed late, on a lease that is not renewed any more.
      ours = false;
    }
    if (!ours) {
      end("another node leads: " + value.path("member").asText());
      return;
    }
    if (term.isPresent() && term.get().leaderStamp() == entry.get().stamp()) {
      return;
    }
    end("the leader key is a newer one");
    Term fresh = new Term(value.path("token").asLong(), entry.get().stamp(), scheduler.nowMs());
    // One more read after our key stood: then the copy has every write of earlier leaders, and
    // later ones fail on their condition.
    replica.barrier(ok -> begin(fresh, ok));
  }

  private void begin(Term fresh, boolean copied) {
    boolean stillOurs =
        replica.get(Keys.LEADER).map(e -> e.stamp() == fresh.leaderStamp()).orElse(false);
    if (!stillOurs || term.isPresent()) {
      return;
    }
    if (!copied) {
      replica.barrier(ok -> begin(fresh, ok));
      return;
    }
    LOG.info("leading with token {}", fresh.token());
    term = Optional.of(fresh);
    listener.leading(fresh);
  }

  /** Another controller says that it leads: ends an older lead of ours, and is looked up. */
  public void higherToken(long token) {
    if (term.isPresent() && term.get().isBefore(token)) {
      deposed("another controller has a higher token");
    } else {
      replica.barrier(ok -> {});
    }
  }

  /** Called with any sign that a newer leader exists. */
  public void deposed(String cause) {
    end(cause);
    replica.barrier(ok -> {});
  }

  private void end(String cause) {
    if (term.isPresent()) {
      Term over = term.get();
      term = Optional.empty();
      LOG.info("no longer leading with token {}: {}", over.token(), cause);
      listener.ended(over, cause);
    }
  }

  /**
   * Gives the lead up to whoever can do more with it, and does not try again for a while, longer
   * each time: a leader that no machine reaches keeps its key alive as well as any, and every lease
   * would end meanwhile.
   */
  public void resignAndPause(String cause) {
    long now = scheduler.nowMs();
    resignations = now - lastResignationMs > RESIGNATION_FORGOTTEN_MS ? 0 : resignations + 1;
    lastResignationMs = now;
    vacantSinceMs = now;
    pausedUntilMs = now + (RESIGNATION_PAUSE_MS << Math.min(2, resignations));
    LOG.info("resigning the lead: {}", cause);
    resign();
  }

  /** Others go first for a while; where nobody does, a leader that is hard to reach beats none. */
  private boolean pausesAfterResigning() {
    long now = scheduler.nowMs();
    return now < pausedUntilMs && now - vacantSinceMs < OTHERS_FIRST_MS;
  }

  /** Gives the lead up at once, so that others need not wait for the lease to end. */
  public void resign() {
    lease.ifPresent(store::closeLease);
    lease = Optional.empty();
    end("resigned");
  }
}
