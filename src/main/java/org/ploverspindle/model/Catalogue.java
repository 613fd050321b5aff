package org.ploverspindle.model;

import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * Machine types and zones under dense indices. An index, once assigned, keeps its name for the life
 * of the process. Types that the cloud no longer lists stay in the catalogue, since machines of
 * them may still be running.
 */
public final class Catalogue {
  private final List<MachineType> types = new ArrayList<>();
  private final List<MachineType> typesView = Collections.unmodifiableList(types);
  private final Map<String, Integer> typeIndex = new HashMap<>();
  private final List<String> zones = new ArrayList<>();
  private final Map<String, Integer> zoneIndex = new HashMap<>();

  /**
   * @param zonesInOrder the configured zones; they get the first indices, in this order
   */
  public Catalogue(List<String> zonesInOrder) {
    zonesInOrder.forEach(this::zone);
  }

  /** Adds the types that the cloud lists now, and replaces the details of those already known. */
  public void update(List<MachineType> listedTypes) {
    for (MachineType type : listedTypes) {
      type.zones().forEach(this::zone);
      Integer existingIndex = typeIndex.get(type.name());
      if (existingIndex == null) {
        typeIndex.put(type.name(), types.size());
        types.add(type);
      } else {
        types.set(existingIndex, type);
      }
    }
  }

  /** False until the first machine types are known; until then no placement can be decided. */
  public boolean isKnown() {
    return !types.isEmpty();
  }

  /** All types ever listed, by index; an unmodifiable view. */
  public List<MachineType> types() {
    return typesView;
  }

  public MachineType type(int index) {
    return types.get(index);
  }

  /** The index of a machine type; empty if the cloud never listed it. */
  public Optional<Integer> typeIndex(String name) {
    return Optional.ofNullable(typeIndex.get(name));
  }

  /** The index of the zone; an unknown zone is added. */
  public int zone(String name) {
    return zoneIndex.computeIfAbsent(
        name,
        newName -> {
          zones.add(newName);
          return zones.size() - 1;
        });
  }

  /** The index of the zone; empty if it is unknown. */
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
