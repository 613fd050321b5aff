package org.ploverspindle.model;

import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * Assigns consecutive indices, starting at 0, to machine types and to zones. An index refers to the
 * same name for the life of the process. Machine types that the cloud no longer lists stay in the
 * catalogue, because machines of these types may still be running.
 */
public final class Catalogue {
  private final List<MachineType> types = new ArrayList<>();
  private final List<MachineType> typesView = Collections.unmodifiableList(types);
  private final Map<String, Integer> typeIndex = new HashMap<>();
  private final List<String> zones = new ArrayList<>();
  private final Map<String, Integer> zoneIndex = new HashMap<>();

  /**
   * Creates a catalogue without machine types.
   *
   * @param zonesInOrder the names of the configured zones, which get the first indices in this
   *     order
   */
  public Catalogue(List<String> zonesInOrder) {
    zonesInOrder.forEach(this::zoneIndexOrAdd);
  }

  /**
   * Adds the machine types that are not in the catalogue yet, and replaces the details of those
   * that are. Zones of the types that are not in the catalogue yet are added too.
   */
  public void update(List<MachineType> listedTypes) {
    for (MachineType type : listedTypes) {
      type.zones().forEach(this::zoneIndexOrAdd);
      Integer existingIndex = typeIndex.get(type.name());
      if (existingIndex == null) {
        typeIndex.put(type.name(), types.size());
        types.add(type);
      } else {
        types.set(existingIndex, type);
      }
    }
  }

  /**
   * Whether at least one machine type is in the catalogue. Until then no placement can be decided.
   */
  public boolean hasMachineTypes() {
    return !types.isEmpty();
  }

  /** All machine types ever added, ordered by index; an unmodifiable live view. */
  public List<MachineType> types() {
    return typesView;
  }

  public MachineType type(int index) {
    return types.get(index);
  }

  /** The index of the machine type with this name; empty if the type was never added. */
  public Optional<Integer> typeIndex(String name) {
    return Optional.ofNullable(typeIndex.get(name));
  }

  /** The index of the zone with this name. A zone that is not in the catalogue yet is added. */
  public int zoneIndexOrAdd(String name) {
    return zoneIndex.computeIfAbsent(
        name,
        newName -> {
          zones.add(newName);
          return zones.size() - 1;
        });
  }

  /** The index of the zone with this name; empty if the zone was never added. */
  public Optional<Integer> zoneIndex(String name) {
    return Optional.ofNullable(zoneIndex.get(name));
  }

  public String zoneName(int index) {
    return zones.get(index);
  }

  public int zoneCount() {
    return zones.size();
  }
}
