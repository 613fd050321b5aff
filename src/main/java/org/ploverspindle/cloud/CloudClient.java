package org.ploverspindle.cloud;

import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;
import org.ploverspindle.model.MachineType;
import org.ploverspindle.scalein.TerminationClient;

/**
 * The operations of the cloud that provisions machines. Outcomes are delivered on the event loop.
 * An empty outcome means that no usable response was received.
 */
public interface CloudClient extends TerminationClient {

  /** The status of a machine in the cloud's list. */
  enum MachineStatus {
    BOOTING,
    RUNNING,
    FAILED
  }

  /**
   * A machine in the cloud's list.
   *
   * @param id the machine's name, unique over all machines
   * @param address the address at which its worker receives direct commands; empty if it is not
   *     known yet
   * @param ageS seconds from its provisioning until the list was made
   */
  record CloudMachine(
      String id,
      String address,
      String type,
      String zone,
      boolean spot,
      MachineStatus status,
      double ageS) {}

  /**
   * A page of the list of machines.
   *
   * @param hasNext whether another page follows
   */
  record MachinePage(List<CloudMachine> machines, boolean hasNext) {}

  /** The outcome of a provisioning request. */
  sealed interface ProvisionResult {
    /**
     * The request was executed.
     *
     * @param machineNames the names of the provisioned machines: as many as were requested, or
     *     fewer
     */
    record Provisioned(List<String> machineNames) implements ProvisionResult {}

    /**
     * The cloud currently has no machine of the type left in the zone, spot or on-demand as
     * requested.
     */
    record NoCapacity() implements ProvisionResult {}

    /** The cloud rejected the request as malformed, and would reject a repeated one as well. */
    record Malformed() implements ProvisionResult {}

    /** The request was certainly not executed, for a reason other than a lack of capacity. */
    record Refused() implements ProvisionResult {}

    /** The request may have been executed. It must be repeated under the same intent name. */
    record Unknown() implements ProvisionResult {}
  }

  /** Lists the machine types that the cloud offers. */
  void listMachineTypes(Consumer<Optional<List<MachineType>>> callback);

  /**
   * Provisions up to {@code count} machines. The operation is idempotent by {@code intentName}: a
   * repeated request provisions nothing more and returns the same machines.
   */
  void provision(
      String intentName,
      String type,
      String zone,
      boolean spot,
      int count,
      Consumer<ProvisionResult> callback);

  /**
   * Lists a page of the machines.
   *
   * @param after the last machine of the page before; empty for the first page
   */
  void listMachines(String after, Consumer<Optional<MachinePage>> callback);
}
