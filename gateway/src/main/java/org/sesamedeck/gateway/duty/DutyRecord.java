package org.sesamedeck.gateway.duty;

import java.util.Optional;
import java.util.OptionalLong;

/**
 * The stored record of the holder of the duties.
 *
 * @param holder name of the holder
 * @param incarnation random number of the run of the holder's process
 * @param fencingNumber version of the write by which the holder took the duties; empty in that
 *     write itself, whose version is not known beforehand
 * @param writes number of this write among those of the run; no two writes have the same text,
 *     since the store does not change the version for a write that changes nothing
 * @param isReleased whether the holder has given the duties up and sends nothing any more
 * @param note what is kept for the duties themselves
 */
record DutyRecord(
        String holder,
        long incarnation,
        OptionalLong fencingNumber,
        long writes,
        boolean isReleased,
        String note) {
    private static final String RELEASED = "released";
    private static final String HELD = "held";
    private static final int HEADER_FIELDS = 5;

    /** Returns the text that is stored: a line with the fields, then the note. */
    String encode() {
        return Long.toHexString(incarnation)
                + ' '
                + fencingNumber.orElse(0)
                + ' '
                + writes
                + ' '
                + (isReleased ? RELEASED : HELD)
                + ' '
                + holder
                + '\n'
                + note;
    }

    /** Returns the record of a stored text; empty if it is unreadable. */
    static Optional<DutyRecord> decode(String text) {
        int end = text.indexOf('\n');
        String[] fields = text.substring(0, Math.max(0, end)).split(" ", HEADER_FIELDS);
        if (fields.length < HEADER_FIELDS) {
            return Optional.empty();
        }
        try {
            long fencingNumber = Long.parseLong(fields[1]);
            return Optional.of(
                    new DutyRecord(
                            fields[4],
                            Long.parseUnsignedLong(fields[0], 16),
                            fencingNumber == 0
                                    ? OptionalLong.empty()
                                    : OptionalLong.of(fencingNumber),
                            Long.parseLong(fields[2]),
                            fields[3].equals(RELEASED),
                            text.substring(end + 1)));
        } catch (NumberFormatException unreadable) {
            return Optional.empty();
        }
    }

    /** Returns the next record of the holder with a note. */
    DutyRecord confirmed(long fence, long number, String changedNote) {
        return new DutyRecord(
                holder, incarnation, OptionalLong.of(fence), number, false, changedNote);
    }

    /** Returns the record by which the holder gives the duties up. */
    DutyRecord released(long fence, long number) {
        return new DutyRecord(holder, incarnation, OptionalLong.of(fence), number, true, note);
    }
}
