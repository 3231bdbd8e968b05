package org.sesamedeck.core;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeSet;

/** Compares two versions of the lists by section and key rather than by line. */
public final class ListsDifference {
    private ListsDifference() {}

    /** Returns every value that differs between two versions of both lists. */
    public static List<ListChange> betweenBoth(
            String plansBefore,
            String entitlementsBefore,
            String plansAfter,
            String entitlementsAfter) {
        List<ListChange> changes = new ArrayList<>(between("plans", plansBefore, plansAfter));
        changes.addAll(between("entitlements", entitlementsBefore, entitlementsAfter));
        return changes;
    }

    /** Returns every value that differs between two texts of one list. */
    public static List<ListChange> between(String list, String before, String after) {
        List<SettingError> ignoredErrors = new ArrayList<>();
        Map<String, Map<String, String>> old =
                IniDocument.parse(list, before, ignoredErrors).sections();
        Map<String, Map<String, String>> current =
                IniDocument.parse(list, after, ignoredErrors).sections();
        List<ListChange> changes = new ArrayList<>();
        TreeSet<String> sections = new TreeSet<>(old.keySet());
        sections.addAll(current.keySet());
        for (String section : sections) {
            compareSection(
                    list,
                    section,
                    old.getOrDefault(section, Map.of()),
                    current.getOrDefault(section, Map.of()),
                    changes);
        }
        return changes;
    }

    private static void compareSection(
            String list,
            String section,
            Map<String, String> before,
            Map<String, String> after,
            List<ListChange> changes) {
        TreeSet<String> keys = new TreeSet<>(before.keySet());
        keys.addAll(after.keySet());
        for (String key : keys) {
            String old = before.getOrDefault(key, "");
            String current = after.getOrDefault(key, "");
            if (!old.equals(current)) {
                changes.add(new ListChange(list, section, key, old, current));
            }
        }
    }
}
