package org.ploverspindle.cloud;

import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;

/** The cloud as this program sees it; answers arrive on the decision loop. */
public interface CloudApi {

  enum HostStatus {
    BOOTING,
    RUNNING,
    FAILED
  }

  record Host(
      String id,
      String address,
      String type,
      String zone,
      boolean spot,
      HostStatus status,
      double ageS) {}

  record HostPage(List<Host> hosts, boolean hasNext) {}

  sealed interface RentResult {
    record Rented(List<String> hosts) implements RentResult {}

    record NoCapacity() implements RentResult {}

    /** The cloud does not take such a request, now or later. */
    record Malformed() implements RentResult {}

    /** Certainly not executed, and says nothing on capacity. */
    record Refused() implements RentResult {}

    /** May have been executed: the same claim must be asked for again. */
    record Unknown() implements RentResult {}
  }

  void types(Consumer<Optional<List<MachineType>>> then);

  void rent(
      String claim, String type, String zone, boolean spot, int count, Consumer<RentResult> then);

  /** True: the machines and all on them are gone. */
  void release(List<String> hosts, Consumer<Boolean> then);

  void hosts(String after, Consumer<Optional<HostPage>> then);
}
