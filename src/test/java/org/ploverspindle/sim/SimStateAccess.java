package org.ploverspindle.sim;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.Supplier;
import org.ploverspindle.sim.SimulatedCluster.Refusal;
import org.ploverspindle.state.StateStore;

/**
 * How all controllers reach the state service: refusals to single nodes, transactions whose answers
 * are lost or that are carried out late, and the counts of those.
 */
final class SimStateAccess {
  static final String STATE = "state";

  private static final long TIMEOUT_MS = 2_500;
  private static final int LATE_WRITE_LEAST_MS = 2_000;
  private static final int LATE_WRITE_SPREAD_MS = 10_000;

  /** Small pages where there is little to read, so that changes come between them. */
  private static final int SMALL_PAGE = 7;

  private record RefusalOfNode(Refusal kind, int node) {}

  private final SimClock clock;
  private final Random random;
  private final SimNetwork network;
  private final SimStateStore state;
  private final boolean smallPages;
  private final Set<RefusalOfNode> refusals = new HashSet<>();
  private final Map<Integer, Long> carriedOut = new HashMap<>();
  private Consumer<StateStore.Transaction> sending = txn -> {};
  private int unansweredWrites;
  private int overtakenWrites;

  SimStateAccess(
      SimClock clock, Random random, SimNetwork network, SimStateStore state, boolean smallPages) {
    this.clock = clock;
    this.random = random;
    this.network = network;
    this.state = state;
    this.smallPages = smallPages;
  }

  /** From now on the state service refuses such requests of the node, or serves them again. */
  void refuse(int node, Refusal kind, boolean now) {
    if (now) {
      refusals.add(new RefusalOfNode(kind, node));
    } else {
      refusals.remove(new RefusalOfNode(kind, node));
    }
  }

  /** To be told of every transaction as it is sent, before its fate is drawn. */
  void whenSent(Consumer<StateStore.Transaction> then) {
    sending = then;
  }

  /** How many transactions stand whose answers were lost. */
  int unansweredWrites() {
    return unansweredWrites;
  }

  /** Unanswered transactions that were carried out after newer ones of the same controller. */
  int overtakenWrites() {
    return overtakenWrites;
  }

  StateStore client(int node, SimLink link) {
    return new Client(node, link);
  }

  private final class Client implements StateStore {
    private final int node;
    private final SimLink link;

    Client(int node, SimLink link) {
      this.node = node;
      this.link = link;
    }

    private <T> void call(Refusal kind, Supplier<T> execute, T refused, T none, Consumer<T> then) {
      link.request(
          STATE,
          TIMEOUT_MS,
          reply -> reply.accept(serves(kind) ? execute.get() : refused),
          none,
          then);
    }

    private boolean serves(Refusal kind) {
      return state.serves() && !refusals.contains(new RefusalOfNode(kind, node));
    }

    /** Nobody hears what becomes of it. */
    private void executeUnanswered(
        Transaction txn, long delayMs, Consumer<TransactionResult> then) {
      long before = carriedOut.getOrDefault(node, 0L);
      clock.at(
          delayMs,
          () -> {
            if (serves(Refusal.WRITES)) {
              overtakenWrites += carriedOut.getOrDefault(node, 0L) > before ? 1 : 0;
              unansweredWrites += state.txn(txn) instanceof TransactionResult.Committed ? 1 : 0;
            }
          });
      clock.at(
          TIMEOUT_MS,
          () -> link.process().schedule(0, () -> then.accept(new TransactionResult.Unknown())));
    }

    @Override
    public void commit(Transaction txn, Consumer<TransactionResult> then) {
      sending.accept(txn);
      SimNetwork.WriteFate fate = network.writeFate();
      if (fate != SimNetwork.WriteFate.ANSWERED && network.reaches(link.node(), STATE)) {
        boolean late = fate == SimNetwork.WriteFate.LATE;
        long delayMs = late ? LATE_WRITE_LEAST_MS + random.nextInt(LATE_WRITE_SPREAD_MS) : 1;
        executeUnanswered(txn, delayMs, then);
        return;
      }
      call(
          Refusal.WRITES,
          () -> {
            TransactionResult result = state.txn(txn);
            if (result instanceof TransactionResult.Committed) {
              carriedOut.merge(node, 1L, Long::sum);
            }
            return result;
          },
          new TransactionResult.Refused(503),
          new TransactionResult.Unknown(),
          then);
    }

    @Override
    public void readPage(String prefix, String after, int size, Consumer<PageResult> then) {
      PageResult failed = new PageResult.Failed();
      int page = smallPages ? Math.min(size, SMALL_PAGE) : size;
      call(Refusal.READS, () -> state.page(prefix, after, page), failed, failed, then);
    }

    @Override
    public void readChanges(String prefix, long ledger, Consumer<ChangesResult> then) {
      ChangesResult failed = new ChangesResult.Failed();
      call(Refusal.READS, () -> state.changesAfter(prefix, ledger), failed, failed, then);
    }

    @Override
    public void openLease(long ttlMs, Consumer<Optional<Long>> then) {
      Optional<Long> none = Optional.empty();
      call(Refusal.HOLDS, () -> Optional.of(state.openLease(ttlMs)), none, none, then);
    }

    @Override
    public void renewLease(long lease, Consumer<Renewal> then) {
      call(Refusal.HOLDS, () -> state.renew(lease), Renewal.FAILED, Renewal.FAILED, then);
    }

    @Override
    public void closeLease(long lease) {
      network.request(link.node(), STATE, () -> state.endHold(lease), () -> {});
    }
  }
}
