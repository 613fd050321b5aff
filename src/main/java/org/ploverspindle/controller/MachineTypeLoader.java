package org.ploverspindle.controller;

import org.ploverspindle.cloud.CloudClient;
import org.ploverspindle.eventloop.Scheduler;
import org.ploverspindle.model.Catalogue;
import org.ploverspindle.state.MachineTypesRecord;
import org.ploverspindle.state.Replica;

/** Fills the catalogue of machine types, without which no stored record can be understood. */
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
    return catalogue.isKnown();
  }

  /** Takes the types from the record of an earlier leader, unless they are known. */
  void loadFromReplica() {
    if (!catalogue.isKnown()) {
      MachineTypesRecord.read(replica).ifPresent(catalogue::update);
    }
  }

  /**
   * Asks the cloud until the types are known.
   *
   * @param onLoaded called once the cloud or the replica has shown them
   */
  void loadFromCloud(Runnable onLoaded) {
    cloud.listMachineTypes(
        types -> {
          types.ifPresent(catalogue::update);
          if (catalogue.isKnown()) {
            onLoaded.run();
          } else {
            scheduler.schedule(RETRY_DELAY_MS, () -> loadFromCloud(onLoaded));
          }
        });
  }
}
