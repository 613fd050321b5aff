package org.ploverspindle.sim;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.SplittableRandom;
import org.ploverspindle.leases.HeldRole;
import org.ploverspindle.leases.LeaseTiming;
import org.ploverspindle.leases.RoleHolder;
import org.ploverspindle.leases.RoleLease;
import org.ploverspindle.leases.RoleRecords;
import org.ploverspindle.net.Cbor;
import org.ploverspindle.settings.Settings;
import org.ploverspindle.state.Keys;
import org.ploverspindle.state.Replica;
import org.ploverspindle.state.StateStore;
import org.ploverspindle.state.StateStore.Change;
import org.ploverspindle.state.StateStore.Condition;
import org.ploverspindle.state.StateStore.TransactionResult;

/**
 * Controllers that compete for one role and write under it at a fixed interval, on the simulated
 * state service. Each transaction that is committed is applied to a {@link ReferenceRole}.
 */
final class RoleCluster {
  static final int CONTROLLERS = 3;
  static final LeaseTiming TIMING = new LeaseTiming(3_000, 2_940);
  static final String HOLDER_KEY = Keys.PREFIX + "duty/test";
  static final String EPOCH_KEY = Keys.PREFIX + "duty/test/epoch";
  static final String ACTION_KEY = Keys.PREFIX + "act";

  private static final long TICK_INTERVAL_MS = 150;
  private static final long ACTION_INTERVAL_MS = 200;
  private static final int MAX_SEND_DELAY_MS = 60;
  private static final long CHECK_INTERVAL_MS = 20;

  final SimClock clock = new SimClock();
  final Random random;
  final SimNetwork network;
  final SimStateStore state;
  final SimStateAccess access;
  final ReferenceRole referenceRole = new ReferenceRole();
  private final boolean fenced;
  private final List<Controller> controllers = new ArrayList<>();
  private final List<String> falseHolders = new ArrayList<>();
  private int refusedActions;

  RoleCluster(long seed, boolean fenced) {
    this.random = new Random(seed);
    this.fenced = fenced;
    this.network = new SimNetwork(clock, random);
    this.state = new SimStateStore(clock, new Settings.StateLimits(400, 200, 8, 12));
    this.access = new SimStateAccess(clock, random, network, state, false);
    state.onWrite(referenceRole::committed);
    for (int i = 0; i < CONTROLLERS; i++) {
      controllers.add(new Controller(i));
    }
    checkCertainHolder();
  }

  Controller controller(int index) {
    return controllers.get(index);
  }

  /** The first controller that holds the role as far as it knows; others may believe so too. */
  Optional<Controller> holder() {
    return controllers.stream()
        .filter(controller -> !controller.process.isDead() && controller.role.held().isPresent())
        .findFirst();
  }

  /**
   * Descriptions of the cases in which a controller was certain to hold the role and the reference
   * model had another holder or none. Controllers whose clock jumped are not checked.
   */
  List<String> falseHolders() {
    return falseHolders;
  }

  /** How many actions the state service refused because the holder record had changed. */
  int refusedActions() {
    return refusedActions;
  }

  /** Kills the process of a controller and starts a new one later; does nothing if it is dead. */
  void crash(int index, long restartAfterMs) {
    if (controllers.get(index).process.isDead()) {
      return;
    }
    controllers.get(index).process.kill();
    clock.after(restartAfterMs, () -> controllers.set(index, new Controller(index)));
  }

  /**
   * Compares each running controller that is certain to hold the role with the reference model.
   * Controllers whose clock jumped are left out: the certainty relies on a steady clock.
   */
  private void checkCertainHolder() {
    Optional<Long> epoch =
        state.containsKey(HOLDER_KEY) ? referenceRole.currentEpoch() : Optional.empty();
    for (Controller controller : controllers) {
      boolean runs = !controller.process.isDead() && !controller.process.isFrozen();
      if (runs && !controller.clockJumped && controller.role.isCertainlyHeld()) {
        Optional<Long> believedEpoch = controller.role.held().map(HeldRole::epoch);
        if (!believedEpoch.equals(epoch)) {
          falseHolders.add(
              "at "
                  + clock.nowMs()
                  + " "
                  + believedEpoch
                  + " is certain to hold the role, reference model: "
                  + epoch
                  + " is the holder's epoch");
        }
      }
    }
    clock.after(CHECK_INTERVAL_MS, this::checkCertainHolder);
  }

  /** The stored records of the tested role. */
  static final class Records implements RoleRecords {
    @Override
    public String name() {
      return "test";
    }

    @Override
    public String holderKey() {
      return HOLDER_KEY;
    }

    @Override
    public String epochKey() {
      return EPOCH_KEY;
    }

    @Override
    public JsonNode encode(RoleHolder holder) {
      return Cbor.map()
          .put("member", holder.controllerName())
          .put("nonce", holder.nonce())
          .put("epoch", holder.epoch())
          .put("lease", holder.leaseId());
    }

    @Override
    public Optional<RoleHolder> decode(JsonNode record) {
      return record.path("epoch").canConvertToLong()
          ? Optional.of(
              new RoleHolder(
                  record.path("member").asText(),
                  record.path("nonce").asText(),
                  record.path("epoch").asLong(),
                  record.path("lease").asLong()))
          : Optional.empty();
    }

    @Override
    public JsonNode encodeEpoch(long taken) {
      return Cbor.map().put("last", taken);
    }

    @Override
    public Optional<Long> nextEpoch(Optional<JsonNode> record) {
      if (record.isEmpty()) {
        return Optional.of(1L);
      }
      return record.get().path("last").canConvertToLong()
          ? Optional.of(record.get().path("last").asLong() + 1)
          : Optional.empty();
    }
  }

  /** One process of a controller; a restart creates another instance. */
  final class Controller implements RoleLease.Listener {
    final SimClock.Process process;
    final RoleLease role;
    final List<HeldRole> acquiredRoles = new ArrayList<>();
    private final StateStore store;
    private boolean clockJumped;
    private boolean silent;

    Controller(int index) {
      process = clock.new Process(random.nextInt(1_000_000), 1 + random.nextInt(10) / 20_000.0, 0);
      store = access.client(index, new SimLink(clock, network, index, process));
      Replica replica = new Replica(process, store, Keys.PREFIX, 300, new SplittableRandom(1));
      role =
          new RoleLease(
              process,
              store,
              replica,
              new SplittableRandom(random.nextLong()),
              new RoleLease.Candidacy(SimLink.controllerName(index), new Records(), TIMING),
              this);
      process.schedule(0, replica::start);
      process.scheduleWithFixedDelay(TICK_INTERVAL_MS, role::tick);
      process.scheduleWithFixedDelay(ACTION_INTERVAL_MS, this::sendActionIfHeld);
    }

    /** Jumps the steady clock of the process, so that its certainty can be wrong for a while. */
    void jumpClock(long byMs) {
      clockJumped = true;
      process.jumpClock(byMs);
    }

    /** From now on the controller sends no actions; it still renews its lease. */
    void stopSending() {
      silent = true;
    }

    /**
     * Checks that the role is certainly held, and sends an action under it after a random delay:
     * the process may be frozen between the check and the send.
     */
    private void sendActionIfHeld() {
      if (!silent && role.isCertainlyHeld()) {
        HeldRole held = role.held().orElseThrow();
        process.schedule(random.nextInt(MAX_SEND_DELAY_MS), () -> sendAction(held));
      }
    }

    private void sendAction(HeldRole held) {
      List<Condition> conditions =
          fenced ? List.of(new Condition(HOLDER_KEY, held.modRevision())) : List.of();
      store.commit(
          new StateStore.Transaction(
              conditions,
              List.of(new Change.Put(ACTION_KEY, Cbor.map().put("epoch", held.epoch())))),
          result -> {
            if (result instanceof TransactionResult.Conflict) {
              refusedActions++;
              role.stopHolding("a write was refused");
            }
          });
    }

    @Override
    public void acquired(HeldRole held) {
      acquiredRoles.add(held);
    }

    @Override
    public void lost(HeldRole held, String cause) {}

    @Override
    public boolean mayAcquire() {
      return true;
    }
  }
}
