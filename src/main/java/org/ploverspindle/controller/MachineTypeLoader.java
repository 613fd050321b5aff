package org.ploverspindle.controller;

import org.ploverspindle.cloud.CloudClient;
import org.ploverspindle.eventloop.Scheduler;
import org.ploverspindle.model.Catalogue;
import org.ploverspindle.state.MachineTypesRecord;
import org.ploverspindle.state.Replica;

/**
 * Loads the machine types into the catalogue. Without them the stored records can't be interpreted.
 */
final class MachineTypeLoader {
  private static final long RETRY_DELAY_MS = 1_500;

  private final Scheduler scheduler;
  private final CloudClient cloud;
  private final Replica replica;
  private final Catalogue catalogue;

  MachineTypeLoader(Scheduler scheduler, CloudClient cloud, Replica replica, Catalogue catalogue) {
    this.scheduler = scheduler;
    this.cloud = cloud;
    this.replica = replica;
    this.catalogue = catalogue;
  }

  boolean isLoaded() {
    return catalogue.hasMachineTypes();
  }

  /**
   * Loads the types from the record that an earlier leader stored, unless they are known already.
   */
  void loadFromReplica() {
    if (!catalogue.hasMachineTypes()) {
      MachineTypesRecord.read(replica).ifPresent(catalogue::update);
    }
  }

  /**
   * Requests the types from the cloud, and retries until they are known from the cloud or from the
   * replica.
   *
   * @param onLoaded is called once, after the first request to the cloud that ends with the types
   *     known
   */
  void loadFromCloud(Runnable onLoaded) {
    cloud.listMachineTypes(
        types -> {
          types.ifPresent(catalogue::update);
          if (catalogue.hasMachineTypes()) {
            onLoaded.run();
          } else {
            scheduler.schedule(RETRY_DELAY_MS, () -> loadFromCloud(onLoaded));
          }
        });
  }
}
