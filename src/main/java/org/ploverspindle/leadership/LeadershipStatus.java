package org.ploverspindle.leadership;

import java.util.Locale;
import java.util.Optional;
import org.HdrHistogram.Histogram;
import org.ploverspindle.leases.HeldRole;
import org.ploverspindle.leases.RoleHolder;
import org.ploverspindle.leases.RoleLease;

/**
 * The line about leadership in the status page. Its keys are an external interface, as monitoring
 * reads them.
 */
record LeadershipStatus(long nowMs, RoleLease lease) {
  private static final double MEDIAN = 50;
  private static final double P99 = 99;
  private static final double MS_PER_S = 1_000;

  @Override
  public String toString() {
    Optional<RoleHolder> holder = lease.holder();
    return "duty=lead holder="
        + holder.map(RoleHolder::controllerName).orElse("none")
        + holder.map(known -> " epoch=" + known.epoch()).orElse("")
        + lease.held().map(this::heldByThisController).orElse("")
        + histogram(" renewal_ms", lease.renewalDurationsMs())
        + histogram(" vacant_ms", lease.vacancyDurationsMs());
  }

  private String heldByThisController(HeldRole role) {
    return String.format(
        Locale.ROOT,
        " held_s=%.1f renewed_s_ago=%.1f",
        (nowMs - role.heldSinceMs()) / MS_PER_S,
        (nowMs - lease.lastRenewalSentMs()) / MS_PER_S);
  }

  private static String histogram(String name, Histogram values) {
    return String.format(
        Locale.ROOT,
        "%s(n=%d p50=%d p99=%d max=%d)",
        name,
        values.getTotalCount(),
        values.getValueAtPercentile(MEDIAN),
        values.getValueAtPercentile(P99),
        values.getMaxValue());
  }
}
