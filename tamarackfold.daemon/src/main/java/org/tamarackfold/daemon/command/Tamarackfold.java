package org.tamarackfold.daemon.command;

import com.github.rvesse.airline.Cli;
import com.github.rvesse.airline.builder.CliBuilder;
import com.github.rvesse.airline.help.Help;
import com.github.rvesse.airline.parser.errors.ParseException;

/** The {@code tamarackfold} program. */
public final class Tamarackfold {
    private static final int USAGE_ERROR = 2;

    private Tamarackfold() {}

    /** Runs the command that the arguments name. */
    public static void main(String[] arguments) {
        CliBuilder<Runnable> builder = Cli.builder("tamarackfold");
        builder.withDescription("Scheduler for agent programs")
                .withDefaultCommand(HelpCommand.class)
                .withCommand(HelpCommand.class)
                .withCommand(HostCommand.class)
                .withCommand(CheckSettingsCommand.class)
                .withCommand(CheckReleaseCommand.class)
                .withCommand(DemoCommand.class);
        Cli<Runnable> cli = builder.build();
        String[] effective =
                arguments.length > 0 && arguments[0].equals("--help")
                        ? new String[] {"help"}
                        : arguments;
        try {
            cli.parse(effective).run();
        } catch (ParseException e) {
            System.err.println("tamarackfold: " + e.getMessage());
            System.err.println("Run 'tamarackfold help' for the commands.");
            System.exit(USAGE_ERROR);
        }
    }

    /** Shows the commands, or one of them. */
    @com.github.rvesse.airline.annotations.Command(
            name = "help",
            description = "Shows the commands, or one of them")
    public static final class HelpCommand extends Help<Runnable> {
        /** Creates the command. */
        public HelpCommand() {}
    }
}
