/** The prompt part of {@link SilentCrash}, but each server ends after its first event, not silently. */
final class AnswerCrash {
    private AnswerCrash() {}

    public static void main(String[] arguments) {
        Lab.main(arguments, (lab, hasTrouble) -> SilentCrash.run(lab, hasTrouble, false));
    }
}
