package org.tamarackfold;

import org.testng.Assert;
import org.testng.annotations.Test;

/** Guards against running the tests on a Java version older than 25. */
public class ToolchainTest {
    @Test
    public void runsOnSupportedJavaVersion() {
        Assert.assertTrue(Runtime.version().feature() >= 25);
    }
}
