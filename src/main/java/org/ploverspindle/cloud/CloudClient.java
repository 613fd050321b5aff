package org.ploverspindle.cloud;

import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;
import org.ploverspindle.model.MachineType;
import org.ploverspindle.scalein.TerminationClient;

/**
 * The cloud's operations. Outcomes are delivered on the event loop; an empty one means that there
 * was no usable response.
 */
public interface CloudClient extends TerminationClient {

  /** The status of a machine in the cloud's list. */
  enum HostStatus {
    BOOTING,
    RUNNING,
    FAILED
  }

  /**
   * A machine in the cloud's list.
   *
   * @param address where its worker takes commands; empty when it is not known yet
   * @param ageS seconds since it was provisioned
   */
  record Host(
      String id,
      String address,
      String type,
      String zone,
      boolean spot,
      HostStatus status,
      double ageS) {}

  /** A page of the list of machines. */
  record HostPage(List<Host> hosts, boolean hasNext) {}

  /** The outcome of a provisioning request. */
  sealed interface ProvisionResult {
    /** These machines are provisioned: as many as were requested, or fewer. */
    record Provisioned(List<String> hosts) implements ProvisionResult {}

    /** The cloud has no machine of the type and kind left in the zone at present. */
    record NoCapacity() implements ProvisionResult {}

    /** The cloud rejects the request, and would reject it again. */
    record Malformed() implements ProvisionResult {}

    /** Certainly not executed, for a reason other than capacity. */
    record Refused() implements ProvisionResult {}

    /** May have been executed: it must be repeated under the same name. */
    record Unknown() implements ProvisionResult {}
  }

  /** Requests the machine types that the cloud offers. */
  void listMachineTypes(Consumer<Optional<List<MachineType>>> then);

  /**
   * Provisions up to {@code count} machines. Idempotent by {@code intentName}: a repeat provisions
   * nothing more and returns the same machines.
   */
  void provision(
      String intentName,
      String type,
      String zone,
      boolean spot,
      int count,
      Consumer<ProvisionResult> then);

  /** Requests the page of the list that follows the host {@code after}; empty for the first. */
  void listMachines(String after, Consumer<Optional<HostPage>> then);
}
