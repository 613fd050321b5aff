package org.ploverspindle.sim;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import java.util.Random;
import org.junit.jupiter.api.Test;
import org.ploverspindle.leases.FencedStore;
import org.ploverspindle.leases.FencingRejections;
import org.ploverspindle.leases.FencingRejections.Kind;
import org.ploverspindle.net.Cbor;
import org.ploverspindle.settings.Settings;
import org.ploverspindle.state.Keys;
import org.ploverspindle.state.StateStore;
import org.ploverspindle.state.StateStore.Change;
import org.ploverspindle.state.StateStore.Condition;

/**
 * Guards against wrong counts of writes refused by fencing: only a write whose condition on the
 * holder record fails is counted, not one that fails on another key.
 */
class FencedStoreTest {
  private static final String OTHER_KEY = Keys.PREFIX + "k";

  private final SimClock clock = new SimClock();
  private final SimStateStore state =
      new SimStateStore(clock, new Settings.StateLimits(100, 100, 8, 12));
  private final FencingRejections rejections = new FencingRejections();

  private void write(StateStore store, String conditionKey, long modRevision) {
    Change put = new Change.Put(OTHER_KEY, Cbor.map());
    store.commit(
        new StateStore.Transaction(List.of(new Condition(conditionKey, modRevision)), List.of(put)),
        result -> {});
    clock.runUntil(clock.nowMs() + 1_000);
  }

  @Test
  void onlyWritesConditionalOnAReplacedHolderRecordAreCounted() {
    state.preload(Keys.LEADER, Cbor.map().put("member", "n1"));
    SimNetwork network = new SimNetwork(clock, new Random(1));
    SimClock.Process process = clock.new Process(0, 1, 0);
    StateStore store =
        new FencedStore(
            new SimStateAccess(clock, new Random(2), network, state, false)
                .client(0, new SimLink(clock, network, 0, process)),
            Keys.LEADER,
            rejections);
    write(store, Keys.LEADER, 2);
    write(store, OTHER_KEY, 99);
    assertEquals(
        0,
        rejections.count(Kind.STATE_WRITE),
        "one write was committed, the other failed on another key");
    write(store, Keys.LEADER, 1);
    assertEquals(1, rejections.count(Kind.STATE_WRITE));
    assertEquals("refused state_writes=1 worker_commands=0", rejections.summary());
  }
}
