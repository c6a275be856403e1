package org.tamarackfold.daemon.command;

import com.github.rvesse.airline.Cli;
import com.github.rvesse.airline.builder.CliBuilder;
import com.github.rvesse.airline.help.Help;
import com.github.rvesse.airline.parser.errors.ParseException;

/** Main class of the {@code tamarackfold} command-line program. */
public final class Tamarackfold {
    private static final int EXIT_USAGE_ERROR = 2;

    private Tamarackfold() {}

    /** Runs the command given in the arguments, or {@code help} without arguments. */
    public static void main(String[] arguments) {
        CliBuilder<Runnable> builder = Cli.builder("tamarackfold");
        builder.withDescription("Scheduler for agent programs")
                .withCommand(HelpCommand.class)
                .withCommand(HostCommand.class)
                .withCommand(CheckSettingsCommand.class)
                .withCommand(CheckReleaseCommand.class)
                .withCommand(CustomersCommand.class)
                .withCommand(DemoCommand.class)
                .withCommand(SoakCommand.class);
        Cli<Runnable> cli = builder.build();
        String[] effectiveArguments =
                arguments.length == 0 || arguments[0].equals("--help")
                        ? new String[] {"help"}
                        : arguments;
        try {
            cli.parse(effectiveArguments).run();
        } catch (ParseException e) {
            System.err.println("tamarackfold: " + e.getMessage());
            System.err.println("Run 'tamarackfold help' to list the commands.");
            System.exit(EXIT_USAGE_ERROR);
        }
    }

    /** Lists the commands, or describes one of them. */
    @com.github.rvesse.airline.annotations.Command(
            name = "help",
            description = "Lists the commands, or describes one of them")
    public static final class HelpCommand extends Help<Runnable> {
        /** Creates the command; the command-line parser sets its arguments. */
        public HelpCommand() {}
    }
}
