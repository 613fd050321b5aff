package org.ploverspindle.cloud;

import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;
import org.ploverspindle.model.MachineType;
import org.ploverspindle.scalein.TerminationClient;

/**
 * The cloud's operations. Outcomes are delivered on the decision loop; an empty one means that
 * there was no usable response.
 */
public interface CloudClient extends TerminationClient {

  /** The state of a rented machine, by the cloud. */
  enum HostStatus {
    BOOTING,
    RUNNING,
    FAILED
  }

  /** A rented machine in the cloud's list. */
  record Host(
      String id,
      String address,
      String type,
      String zone,
      boolean spot,
      HostStatus status,
      double ageS) {}

  /** A page of the list of rented machines. */
  record HostPage(List<Host> hosts, boolean hasNext) {}

  /** The outcome of a rental. */
  sealed interface ProvisionResult {
    /** These machines are rented, fewer than were asked for or as many. */
    record Provisioned(List<String> hosts) implements ProvisionResult {}

    /** The group has no machine left at present. */
    record NoCapacity() implements ProvisionResult {}

    /** The cloud does not take such a request, now or later. */
    record Malformed() implements ProvisionResult {}

    /** Certainly not executed, and says nothing on capacity. */
    record Refused() implements ProvisionResult {}

    /** May have been executed: the same claim must be asked for again. */
    record Unknown() implements ProvisionResult {}
  }

  /** Asks for the machine types on offer. */
  void listMachineTypes(Consumer<Optional<List<MachineType>>> then);

  /**
   * Rents up to {@code count} machines. A repeat under the same claim rents nothing more and
   * returns the same machines.
   */
  void provision(
      String intentName,
      String type,
      String zone,
      boolean spot,
      int count,
      Consumer<ProvisionResult> then);

  /** Asks for the page of the list that follows the machine {@code after}; empty for the first. */
  void listMachines(String after, Consumer<Optional<HostPage>> then);
}
