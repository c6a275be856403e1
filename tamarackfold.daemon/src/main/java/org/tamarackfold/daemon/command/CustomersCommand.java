package org.tamarackfold.daemon.command;

import com.github.rvesse.airline.annotations.Arguments;
import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.restrictions.Required;
import java.io.IOException;
import org.tamarackfold.daemon.command.http.CustomerTable;

/** Prints the customers with limits of a running entry host, those with most calls first. */
@Command(
        name = "customers",
        description = "Shows the customers of a running entry host by use, refusals and limit")
public final class CustomersCommand implements Runnable {
    private static final int EXIT_FAILED = 1;

    @Arguments(title = "address", description = "Metrics address of the host, as ip:port")
    @Required
    private String address;

    /** Creates the command; the command-line parser sets its arguments. */
    public CustomersCommand() {}

    @Override
    public void run() {
        try {
            System.out.print(CustomerTable.read(address));
        } catch (IOException | IllegalArgumentException e) {
            System.err.println("tamarackfold: " + address + ": " + e);
            System.exit(EXIT_FAILED);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
