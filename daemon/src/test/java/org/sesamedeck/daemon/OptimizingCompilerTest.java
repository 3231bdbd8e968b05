package org.sesamedeck.daemon;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.stringContainsInOrder;

import java.util.List;
import javax.management.JMException;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

class OptimizingCompilerTest {
    @AfterEach
    void removeLimit() throws JMException {
        OptimizingCompiler.invoke("compilerDirectivesClear");
    }

    /**
     * Guards against a limit that the JVM does not accept, and against exceptions from the general
     * exclusion that come after it or are not in force: the JVM ignores a directive that sets no
     * option of the compiler.
     */
    @Test
    void exceptionsAreInForceBeforeExclusion() throws JMException {
        OptimizingCompiler.limitTo(List.of("org/sesamedeck/*.*", "java/lang/String.*"));

        String directives = OptimizingCompiler.invoke("compilerDirectivesPrint");

        assertThat(directives, containsString("java/lang/String.*"));
        assertThat(
                directives,
                stringContainsInOrder(
                        "org/sesamedeck/*.*",
                        "c2 directives",
                        "Enable:true Exclude:false",
                        "matching: *.*",
                        "c2 directives",
                        "Enable:true Exclude:true"));
    }
}
